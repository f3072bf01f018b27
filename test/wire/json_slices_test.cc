#include "wire/json_slices.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "fuzz_loop.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

using nlohmann::json;

json ParseOrDiscard(std::string_view text) {
  return json::parse(text, nullptr, false);
}

// Guards against a part that cannot be decoded and hides the parts beside it.
TEST(JsonSlicesTest, PartIsOddOthersAreFound) {
  const std::string deep =
      std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string& odd :
       {std::string("1e999"), std::string("-"), std::string("\"\xff\""),
        std::string("\"\\q]}\""), std::string(R"("a\"]")"), deep}) {
    const std::string text = "{\"a\":1,\"odd\":" + odd + " , \"b\" : [2,{}]}";
    const auto fields = SplitJsonObject(text);
    ASSERT_TRUE(fields) << odd.substr(0, 20);
    EXPECT_EQ(FindJsonField(*fields, "a"), "1");
    EXPECT_EQ(FindJsonField(*fields, "odd"), odd);
    EXPECT_EQ(FindJsonField(*fields, "b"), "[2,{}]");
    const std::string list = "[" + odd + ", 3]";
    const auto items = SplitJsonArray(list);
    ASSERT_TRUE(items) << odd.substr(0, 20);
    EXPECT_EQ(items->size(), 2U);
    EXPECT_EQ(items->front(), odd);
    EXPECT_EQ(items->back(), "3");
  }
}

// Guards against views outside of the text, and against a truncated body that
// is taken for a complete one.
TEST(JsonSlicesTest, TextIsIncompleteNothingIsReturned) {
  const std::string text = R"({"a":[1,{"b":"c\"d"}],"e":2})";
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(SplitJsonObject(std::string_view(text).substr(0, length)));
  }
  EXPECT_TRUE(SplitJsonObject(text));
  for (const char* odd :
       {"", "[", "]", "[,]", "[1,]", "[1 2]", "[}]", "[1]]", "{}", "[\"a]"}) {
    EXPECT_FALSE(SplitJsonArray(odd)) << odd;
  }
  for (const char* odd : {"", "{", "{,}", "{1:2}", "{\"a\"}", "{\"a\":}",
                          "{\"a\":1,}", "[]", "{\"a\":1}x", "{\"a\":1 2}"}) {
    EXPECT_FALSE(SplitJsonObject(odd)) << odd;
  }
  EXPECT_TRUE(SplitJsonArray(" [ ] ")->empty());
  EXPECT_TRUE(SplitJsonObject("{}")->empty());
}

// Guards against parts that differ from those that the JSON parser finds.
TEST(JsonSlicesTest, TextIsMutatedPartsMatchTheParser) {
  RunFuzzLoop("test/wire/json_corpus", 20'000, 17, [](const std::string& text) {
    const auto fields = SplitJsonObject(text);
    const auto items = SplitJsonArray(text);
    const json parsed = ParseOrDiscard(text);
    if (parsed.is_object()) {
      ASSERT_TRUE(fields) << text;
      json joined = json::object();
      for (const JsonField& field : *fields) {
        const std::string key = '"' + std::string(field.key) + '"';
        joined[ParseOrDiscard(key).get<std::string>()] =
            ParseOrDiscard(field.value);
      }
      EXPECT_EQ(joined, parsed) << text;
    }
    if (parsed.is_array()) {
      ASSERT_TRUE(items) << text;
      json joined = json::array();
      for (const std::string_view item : *items) {
        joined.push_back(ParseOrDiscard(item));
      }
      EXPECT_EQ(joined, parsed) << text;
    }
  });
}

}  // namespace
}  // namespace carawayhaven
