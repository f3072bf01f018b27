#include <unistd.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command_list.h"
#include "cli/loop_admin_client.h"
#include "net/event_loop.h"
#include "platform/session_proxy_runner.h"
#include "proxy/logging.h"
#include "proxy/proxy_process.h"

namespace carawayhaven {
namespace {

CommandContext MakeContext() {
  CommandContext context{std::cout, std::cerr, {}};
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string variable = *entry;
    const std::size_t equals = variable.find('=');
    if (equals == std::string::npos) continue;
    context.environment[variable.substr(0, equals)] =
        variable.substr(equals + 1);
  }
  return context;
}

ExitCode RunProxy(const Settings& settings, const SettingsLoader& /*reload*/) {
  LogSink sink(settings.log_level, std::cerr);
  EventLoop loop;
  ProxyProcess proxy(loop, settings);
  loop.OnTerminationSignal([&proxy] { proxy.Drain(); });
  loop.Run();
  return kExitOk;
}

}  // namespace
}  // namespace carawayhaven

int main(int argc, char** argv) {
  using namespace carawayhaven;  // NOLINT(google-build-using-namespace)
  try {
    const CommandContext context = MakeContext();
    LoopAdminClient client;
    return CommandList(context, client, RunProxy, platform::RunSessionProxy)
        .Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "carawayhaven: " << error.what() << '\n';
    return kExitUsage;
  }
}
