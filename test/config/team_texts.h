#ifndef CARAWAYHAVEN_TEST_CONFIG_TEAM_TEXTS_H_
#define CARAWAYHAVEN_TEST_CONFIG_TEAM_TEXTS_H_

#include <string>
#include <utility>
#include <vector>

#include "core/config/team_object.h"

namespace carawayhaven {

/// Returns a valid team text that declares the services, each with endpoints
/// "<service>-a" to "<service>-c". The comment makes versions distinguishable.
inline std::string TeamText(const std::string& team,
                            const std::vector<std::string>& services,
                            const std::string& comment = "") {
  std::string text = "# " + comment + "\nteam = \"" + team + "\"\n";
  int port = 7001;
  for (const std::string& service : services) {
    text += "[[service]]\nname = \"" + service + "\"\n";
    for (const char* suffix : {"-a", "-b", "-c"}) {
      text += "[[service.endpoint]]\nname = \"" + service + suffix +
              "\"\naddress = \"127.0.0.1:" + std::to_string(port++) +
              "\"\ndata_centre = \"mendoza\"\n";
    }
  }
  return text;
}

/// Returns the value of a team's object that contains the text.
inline std::string TeamValue(std::string text,
                             const std::string& submission = "x") {
  TeamObject object;
  object.submission = submission;
  object.text = std::move(text);
  return object.Format();
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_CONFIG_TEAM_TEXTS_H_
