#include "core/config/team_config_parser.h"

#include <gtest/gtest.h>

#include <fstream>
#include <ostream>
#include <sstream>
#include <string>

namespace carawayhaven {
namespace {

struct BadText {
  const char* name;
  std::string text;
  unsigned line;
  unsigned column;
  /// Part of the message of the first error.
  const char* message;
  std::size_t errors = 1;
};

// Without this function the listed test names would contain the bytes of the
// struct.
void PrintTo(const BadText& bad, std::ostream* out) { *out << bad.name; }

const std::string kHead = "team = \"t\"\n[[service]]\nname = \"s\"\n";
const std::string kEndpoint =
    "[[service.endpoint]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\n"
    "data_centre = \"d\"\n";

std::string Repeat(std::size_t count, const std::string& text) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

class TeamConfigParserWithBadText : public testing::TestWithParam<BadText> {};

// Guards against undetected errors and wrong positions.
TEST_P(TeamConfigParserWithBadText, ErrorIsReportedAtItsPosition) {
  const BadText& bad = GetParam();
  const TeamConfigResult result = TeamConfigParser::Parse(bad.text);
  EXPECT_FALSE(result.config.has_value());
  ASSERT_EQ(result.errors.size(), bad.errors) << result.errors[0].Format();
  EXPECT_EQ(result.errors[0].position.line, bad.line);
  EXPECT_EQ(result.errors[0].position.column, bad.column);
  EXPECT_NE(result.errors[0].message.find(bad.message), std::string::npos)
      << result.errors[0].Format();
}

INSTANTIATE_TEST_SUITE_P(
    Table, TeamConfigParserWithBadText,
    testing::Values(
        BadText{"Syntax", "team = \"t\"\nslots = = 3\n", 2, 9, ""},
        // toml++ reports the last valid character before invalid UTF-8.
        BadText{"InvalidUtf8", "team = \"\xff\"\n", 1, 8, ""},
        BadText{"UnknownKey", kHead + "slotz = 3\n" + kEndpoint, 4, 1,
                "slotz; did you mean \"slots\"?"},
        BadText{"UnknownKeyFarFromAll",
                "wholly_different_thing = 1\nteam = \"t\"\n", 1, 1,
                "unknown key: wholly_different_thing"},
        BadText{"WrongType", kHead + "slots = \"3\"\n" + kEndpoint, 4, 9,
                "expected an integer"},
        BadText{"WrongTypeOfService", "team = \"t\"\nservice = 3\n", 2, 11,
                "expected an array of tables"},
        BadText{"WrongTypeOfLeaving", kHead + kEndpoint + "leaving = 1\n", 8,
                11, "expected true or false"},
        BadText{"KeyIsNotAscii", "team = \"t\"\n\u00e9 = 1\n", 2, 1, ""},
        BadText{"SpaceIsNotAscii", "team =\u3000\"t\"\n", 1, 7, ""},
        BadText{"ValueIsNotAscii", "team = \"t\u00e9\"\n", 1, 8, ""},
        BadText{"OutOfRange", kHead + "slots = 0\n" + kEndpoint, 4, 9,
                "slots must be from 1 to 1024"},
        BadText{"TooFewConnections",
                kHead + "slots = 5\nconnections = 8\n" + kEndpoint, 5, 15,
                "at least slots + 4"},
        BadText{"MissingTeam", "", 1, 1, "missing key: team"},
        BadText{"MissingDataCentre",
                kHead + "[[service.endpoint]]\nname = \"e\"\n"
                        "address = \"127.0.0.1:1\"\n",
                4, 1, "missing key: data_centre"},
        BadText{"DuplicateService",
                kHead + kEndpoint + "[[service]]\nname = \"s\"\n" +
                    "[[service.endpoint]]\nname = \"f\"\n"
                    "address = \"127.0.0.1:2\"\ndata_centre = \"d\"\n",
                9, 8, "declared twice: s"},
        BadText{"DuplicateEndpointAndAddress", kHead + kEndpoint + kEndpoint, 9,
                8, "declared twice: e", 2},
        BadText{"AddressWithoutPort",
                kHead + "[[service.endpoint]]\nname = \"e\"\n"
                        "address = \"127.0.0.1\"\ndata_centre = \"d\"\n",
                6, 11, "IP:port"},
        BadText{"AddressWithHostName",
                kHead + "[[service.endpoint]]\nname = \"e\"\n"
                        "address = \"db:5\"\ndata_centre = \"d\"\n",
                6, 11, "IP:port"},
        BadText{"PortTooHigh",
                kHead + "[[service.endpoint]]\nname = \"e\"\n"
                        "address = \"1.2.3.4:65536\"\ndata_centre = \"d\"\n",
                6, 11, "IP:port"},
        BadText{"NoEndpoint", kHead, 2, 1, "no endpoint"},
        BadText{"EmptyEndpointArray", kHead + "endpoint = []\n", 4, 12,
                "no endpoint"},
        BadText{"TooManyEndpoints", kHead + Repeat(5, "[[service.endpoint]]\n"),
                4, 1, "more than 4 endpoints"},
        BadText{"TooManyServices",
                "team = \"t\"\n" + Repeat(513, "[[service]]\n"), 2, 1,
                "more than 512 services"},
        BadText{"MalformedName", "team = \"a:b\"\n", 1, 8, "not a name"},
        BadText{"NameTooLong", "team = \"" + std::string(65, 'a') + "\"\n", 1,
                8, "not a name"},
        BadText{"BadAcknowledge",
                kHead + "acknowledge = \"both\"\n" + kEndpoint, 4, 15,
                "not \"both\""},
        BadText{"TextTooLong", std::string(256 * 1024 + 1, '#'), 1, 1,
                "size limit"},
        BadText{"AllErrorsInOrder",
                "team = 3\nteem = 4\n[[service]]\nslots = 0\n", 1, 8,
                "wrong type of team", 5}),
    [](const auto& info) { return std::string(info.param.name); });

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Guards against the refusal of a text because of a place name in a comment.
TEST(TeamConfigParserExamples, NonAsciiCommentIsAccepted) {
  const auto result = TeamConfigParser::Parse("team = \"t\"  # C\u00f3rdoba\n" +
                                              kHead.substr(11) + kEndpoint);
  EXPECT_TRUE(result.errors.empty());
}

// Guards the example files.
TEST(TeamConfigParserExamples, BothExampleFilesAreAccepted) {
  const TeamConfigResult registro =
      TeamConfigParser::Parse(ReadFile("examples/registro.toml"));
  ASSERT_TRUE(registro.config.has_value());
  ASSERT_EQ(registro.config->services.size(), 3U);
  EXPECT_EQ(registro.config->services[1].name, "registro-2");
  EXPECT_EQ(registro.config->services[1].endpoints[2].data_centre, "parana");
  EXPECT_EQ(registro.config->services[0].connections, 20U);

  const TeamConfigResult hire =
      TeamConfigParser::Parse(ReadFile("examples/hire-core.toml"));
  ASSERT_TRUE(hire.config.has_value());
  EXPECT_EQ(hire.config->services[2].slots, 5U);
  EXPECT_EQ(hire.config->services[2].endpoints.size(), 3U);
}

}  // namespace
}  // namespace carawayhaven
