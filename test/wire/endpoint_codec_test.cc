#include "wire/endpoint_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "carawayhaven/exceptions.h"
#include "fuzz_loop.h"

namespace carawayhaven {
namespace {

using nlohmann::json;

constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'265;
constexpr std::uint64_t kLargest = 18'446'744'073'709'551'615U;

EndpointCommand FullCommand() {
  EndpointCommand command;
  command.operation = EndpointOperation::kExecute;
  command.correlation = kLargest;
  command.term = 3;
  command.statement = "put";
  command.parameters = R"(["a"])";
  command.access = AccessMode::kWrite;
  command.id = {"r-1", 0xFFFFFFFF};
  command.max_age = Duration{0};
  command.min_position = {2, 40};
  command.candidate = "vm-1#7";
  command.primary = "e-1";
  return command;
}

EndpointAnswer FullAnswer() {
  return {7,
          EndpointStatus::kConflict,
          4,
          EndpointRole::kPrimary,
          {4, 9},
          true,
          Duration{12},
          Duration{34},
          true,
          "e-1",
          "[1]"};
}

// Guards against a field that the encoder or the decoder omits or confuses with
// another.
TEST(EndpointCodec, CommandKeepsItsFields) {
  for (int operation = 0;
       operation <= static_cast<int>(EndpointOperation::kFollow); ++operation) {
    EndpointCommand sent = FullCommand();
    sent.operation = static_cast<EndpointOperation>(operation);
    const EndpointCommand got =
        DecodeEndpointCommand(EncodeEndpointCommand(sent));
    EXPECT_EQ(got.operation, sent.operation);
    EXPECT_EQ(got.correlation, sent.correlation);
    EXPECT_EQ(got.term, sent.term);
    EXPECT_EQ(got.statement, sent.statement);
    EXPECT_EQ(got.parameters, sent.parameters);
    EXPECT_EQ(got.access, sent.access);
    EXPECT_EQ(got.id, sent.id);
    EXPECT_EQ(got.max_age, sent.max_age);
    EXPECT_EQ(got.min_position, sent.min_position);
    EXPECT_EQ(got.candidate, sent.candidate);
    EXPECT_EQ(got.primary, sent.primary);
  }
}

TEST(EndpointCodec, AnswerKeepsItsFields) {
  for (int status = 0; status <= static_cast<int>(EndpointStatus::kError);
       ++status) {
    EndpointAnswer sent = FullAnswer();
    sent.status = static_cast<EndpointStatus>(status);
    const EndpointAnswer got = DecodeEndpointAnswer(EncodeEndpointAnswer(sent));
    EXPECT_EQ(got.correlation, sent.correlation);
    EXPECT_EQ(got.status, sent.status);
    EXPECT_EQ(got.term, sent.term);
    EXPECT_EQ(got.role, sent.role);
    EXPECT_EQ(got.position, sent.position);
    EXPECT_EQ(got.ran, sent.ran);
    EXPECT_EQ(got.age, sent.age);
    EXPECT_EQ(got.run_time, sent.run_time);
    EXPECT_EQ(got.leaving, sent.leaving);
    EXPECT_EQ(got.primary, sent.primary);
    EXPECT_EQ(got.payload, sent.payload);
  }
}

// Guards against a field that is used without validation. A null value removes
// the field.
TEST(EndpointCodec, MalformedFieldsAreRefused) {
  const std::pair<const char*, std::vector<json>> commands[] = {
      {"id", {nullptr, "1", -1}},
      {"op", {nullptr, 1, "", "drop"}},
      {"term", {nullptr, -1}},
      {"statement", {1}},
      {"parameters", {1}},
      {"write", {1}},
      {"request", {1}},
      {"attempt", {-1, 4'294'967'296U}},
      {"max_age_us", {-1, kLargest}},
      {"min_term", {"1"}},
      {"min_index", {1.5}},
      {"candidate", {1}},
      {"primary", {false}}};
  for (const auto& [field, values] : commands) {
    for (const json& value : values) {
      json message = json::parse(EncodeEndpointCommand(FullCommand()));
      value.is_null() ? void(message.erase(field))
                      : void(message[field] = value);
      EXPECT_THROW(DecodeEndpointCommand(message.dump()), DecodeError)
          << field << value;
    }
  }
  const std::pair<const char*, std::vector<json>> answers[] = {
      {"id", {nullptr, "1", -1}},
      {"status", {nullptr, 1, "", "fine"}},
      {"term", {nullptr, -1}},
      {"primary_role", {1}},
      {"position_term", {-1}},
      {"position_index", {"1"}},
      {"ran", {1}},
      {"age_us", {-1, kLargest}},
      {"run_time_us", {kLargest}},
      {"leaving", {"no"}},
      {"primary", {1}},
      {"payload", {json::array()}}};
  for (const auto& [field, values] : answers) {
    for (const json& value : values) {
      json message = json::parse(EncodeEndpointAnswer(FullAnswer()));
      value.is_null() ? void(message.erase(field))
                      : void(message[field] = value);
      EXPECT_THROW(DecodeEndpointAnswer(message.dump()), DecodeError)
          << field << value;
    }
  }
  for (const char* text : {"", "[]", "{", "null", "\xff"}) {
    EXPECT_THROW(DecodeEndpointCommand(text), DecodeError);
    EXPECT_THROW(DecodeEndpointAnswer(text), DecodeError);
  }
}

// Guards against an uncaught exception of the JSON library.
TEST(EndpointCodec, TextThatIsNotUtf8IsRefused) {
  EndpointCommand command = FullCommand();
  command.statement = "\xff";
  EXPECT_THROW(EncodeEndpointCommand(command), Error);
}

TEST(EndpointCodecMutations, AnyTextIsRefusedOrSurvivesARoundTrip) {
  int accepted = 0;
  RunFuzzLoop(
      "test/wire/endpoint_corpus", kIterations, kRandomSeed,
      [&accepted](const std::string& text) {
        try {
          const std::string command =
              EncodeEndpointCommand(DecodeEndpointCommand(text));
          ++accepted;
          ASSERT_EQ(EncodeEndpointCommand(DecodeEndpointCommand(command)),
                    command);
        } catch (const DecodeError&) {
        }
        try {
          const std::string answer =
              EncodeEndpointAnswer(DecodeEndpointAnswer(text));
          ++accepted;
          ASSERT_EQ(EncodeEndpointAnswer(DecodeEndpointAnswer(answer)), answer);
        } catch (const DecodeError&) {
        }
      });
  EXPECT_GE(accepted, 4);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
