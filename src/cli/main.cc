#include <fstream>
#include <iostream>
#include <sstream>

#include "net/event_loop.h"
#include "proxy/logging.h"
#include "proxy/proxy_process.h"
#include "proxy/settings_parser.h"

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  std::ifstream file(argv[3]);
  std::stringstream text;
  text << file.rdbuf();
  carawayhaven::SettingsSources sources;
  sources.file_name = argv[3];
  sources.text = text.str();
  try {
    const auto loaded = carawayhaven::SettingsParser::Parse(sources);
    carawayhaven::LogSink sink(loaded.settings.log_level, std::cerr);
    carawayhaven::EventLoop loop;
    carawayhaven::ProxyProcess proxy(loop, loaded.settings);
    loop.OnTerminationSignal([&proxy] { proxy.Drain(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
