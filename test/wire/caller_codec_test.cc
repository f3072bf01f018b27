#include "wire/caller_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "carawayhaven/exceptions.h"
#include "fuzz_loop.h"

namespace carawayhaven {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr TimePoint kNow{Duration{5'000'000}};
constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'264;

CallerRequest Decode(const std::string& text) {
  return DecodeCallerRequest(text, CallerLimits{}, kNow);
}

json Write() {
  return {{"type", "request"},
          {"id", 4},
          {"service", "s-1"},
          {"team", "t-1"},
          {"statement", "put"},
          {"parameters", {"a", 1}},
          {"access", "write"},
          {"request_id", "r-1"},
          {"attempt", 65'535},
          {"max_age_ms", 250},
          {"timeout_ms", 700},
          {"token", "s-1:3.40"},
          {"idempotent", true},
          {"transaction", "t/1"},
          {"traceparent", "00-aa-bb-01"}};
}

TEST(CallerCodec, EveryFieldReachesTheRequest) {
  const CallerRequest decoded = Decode(Write().dump());
  const Request& request = decoded.request;
  EXPECT_EQ(decoded.id, 4U);
  EXPECT_EQ(request.kind, RequestKind::kStatement);
  EXPECT_EQ(request.service, "s-1");
  EXPECT_EQ(request.team, "t-1");
  EXPECT_EQ(request.statement, "put");
  EXPECT_EQ(request.parameters, R"(["a",1])");
  EXPECT_EQ(request.access, AccessMode::kWrite);
  EXPECT_EQ(request.id, (RequestId{"r-1", 65'535}));
  EXPECT_EQ(request.max_age, milliseconds(250));
  EXPECT_EQ(request.deadline, kNow + milliseconds(700));
  EXPECT_EQ(request.min_position, (LogPosition{3, 40}));
  EXPECT_TRUE(request.idempotent);
  EXPECT_EQ(request.transaction, "t/1");
  EXPECT_EQ(request.traceparent, "00-aa-bb-01");
}

TEST(CallerCodec, AbsentFieldsTakeTheirDefaults) {
  const CallerRequest decoded =
      Decode(R"({"type":"request","id":1,"service":"s","statement":"get"})");
  const Request& request = decoded.request;
  EXPECT_EQ(request.access, AccessMode::kRead);
  EXPECT_EQ(request.parameters, "[]");
  EXPECT_EQ(request.id, RequestId{});
  EXPECT_FALSE(request.idempotent);
  EXPECT_FALSE(request.max_age);
  EXPECT_EQ(request.deadline, kNow + CallerLimits{}.default_timeout);
}

// Guards against a field that is used without validation. A null value removes
// the field.
TEST(CallerCodec, MissingAndMistypedFieldsAreRefused) {
  const std::string long_name(CallerLimits::kMaxNameBytes + 1, 'n');
  const std::string long_statement(CallerLimits::kMaxStatementBytes + 1, 's');
  const std::pair<const char*, std::vector<json>> cases[] = {
      {"type", {nullptr, 1, "", "select"}},
      {"id", {nullptr, "4", -1, 1.5}},
      {"service", {nullptr, 1, long_name}},
      {"team", {1, long_name}},
      {"statement", {nullptr, 1, long_statement}},
      {"parameters", {"[]", 1, json::object()}},
      {"access", {1, "delete"}},
      {"request_id", {1, long_name}},
      {"attempt", {"1", -1, 65'536, 1.0}},
      {"max_age_ms", {"1", -1, 18'446'744'073'709'551'615U}},
      {"timeout_ms", {"1", -1}},
      {"token", {1, "x", "s:1", "s:a.1"}},
      {"idempotent", {1, "true"}},
      {"transaction", {1, long_name}},
      {"traceparent", {1}}};
  for (const auto& [field, values] : cases) {
    for (const json& value : values) {
      json message = Write();
      if (value.is_null()) {
        message.erase(field);
      } else {
        message[field] = value;
      }
      EXPECT_THROW(Decode(message.dump()), Error) << field << value;
    }
  }
}

TEST(CallerCodec, ValuesAtTheLimitsAreAccepted) {
  json message = Write();
  message["service"] = std::string(CallerLimits::kMaxNameBytes, 'n');
  message["statement"] = std::string(CallerLimits::kMaxStatementBytes, 's');
  message["timeout_ms"] = 18'446'744'073'709'551'615U;
  message["max_age_ms"] = CallerLimits::kMaxAgeMs;
  EXPECT_EQ(Decode(message.dump()).request.deadline,
            kNow + CallerLimits{}.max_timeout);
}

// Guards against a write without a request id, whose outcome could not be
// resolved.
TEST(CallerCodec, RequestIdIsRequiredWhereARetryMustBeRecognised) {
  const struct {
    json fields;
    bool is_required;
  } cases[] = {{{{"type", "request"}, {"access", "write"}}, true},
               {{{"type", "request"}, {"access", "read"}}, false},
               {{{"access", "write"}, {"idempotent", true}}, false},
               {{{"access", "write"}, {"transaction", "t"}}, false},
               {{{"type", "commit"}, {"transaction", "t"}}, true},
               {{{"type", "resolve"}}, true},
               {{{"type", "begin"}}, false},
               {{{"type", "rollback"}, {"transaction", "t"}}, false}};
  for (const auto& entry : cases) {
    json message = {
        {"type", "request"}, {"id", 1}, {"service", "s"}, {"statement", "x"}};
    message.update(entry.fields);
    if (entry.is_required) {
      EXPECT_THROW(Decode(message.dump()), DecodeError) << message;
      message["request_id"] = "";
      EXPECT_THROW(Decode(message.dump()), DecodeError) << message;
      message["request_id"] = "r";
    }
    EXPECT_NO_THROW(Decode(message.dump())) << message;
  }
}

// Guards against a stack overflow in the recursive parser or serialiser.
TEST(CallerCodec, DeepNestingIsRefused) {
  const std::string prefix =
      R"({"type":"request","id":1,"service":"s","statement":"[{","parameters":)";
  const auto nested = [&prefix](std::size_t depth) {
    return prefix + std::string(depth, '[') + std::string(depth, ']') + "}";
  };
  EXPECT_NO_THROW(Decode(nested(63)));
  EXPECT_THROW(Decode(nested(64)), DecodeError);
  EXPECT_THROW(Decode(nested(120'000)), DecodeError);
}

TEST(CallerCodec, TextThatIsNotAnObjectIsRefused) {
  for (const char* text :
       {"", "[]", "1", "{", "{}}", "null", "\xff", "{\"a\"}"}) {
    EXPECT_THROW(Decode(text), DecodeError) << text;
    EXPECT_EQ(PeekCallerRequestId(text), 0U);
  }
  EXPECT_EQ(PeekCallerRequestId(R"({"id":7,"type":1})"), 7U);
}

TEST(CallerCodec, AnswerCarriesTheOutcome) {
  Outcome outcome{
      Verdict::kNotRun, Reason::kOverloaded, "[1]", {1, 2}, "e-1", true,
      Duration{1'001}};
  SessionToken token;
  token.Advance("s", {3, 4});
  const json expected = {{"type", "answer"},     {"id", 9},
                         {"verdict", "not_run"}, {"reason", "overloaded"},
                         {"token", "s:3.4"},     {"served_by", "e-1"},
                         {"from_replica", true}, {"result", {1}},
                         {"retry_after_ms", 2},  {"transaction", "t"}};
  EXPECT_EQ(json::parse(EncodeCallerAnswer(9, outcome, token, "t")), expected);
  outcome.payload = "no such \xff table";
  const json text = json::parse(EncodeCallerAnswer(9, outcome, token, ""));
  EXPECT_TRUE(text["result"].is_string());
  EXPECT_FALSE(text.contains("transaction"));
  outcome.payload = std::string(120'000, '[') + std::string(120'000, ']');
  const json nested = json::parse(EncodeCallerAnswer(9, outcome, token, ""));
  EXPECT_EQ(nested["result"], outcome.payload);
  EXPECT_EQ(json::parse(EncodeCallerError(3, "m"))["reason"],
            "invalid_request");
}

TEST(CallerCodecMutations, AnyTextIsRefusedOrWithinTheLimits) {
  int accepted = 0;
  RunFuzzLoop(
      "test/wire/caller_corpus", kIterations, kRandomSeed,
      [&accepted](const std::string& text) {
        PeekCallerRequestId(text);
        try {
          const Request request = Decode(text).request;
          ++accepted;
          ASSERT_LE(request.service.size(), CallerLimits::kMaxNameBytes);
          ASSERT_LE(request.id.attempt, CallerLimits::kMaxAttempt);
          ASSERT_GE(request.deadline, kNow);
          ASSERT_LE(request.deadline, kNow + CallerLimits{}.max_timeout);
        } catch (const DecodeError&) {
        } catch (const InvalidTokenError&) {
        }
      });
  EXPECT_GE(accepted, 5);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
