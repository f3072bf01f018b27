#include "platform/documents.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "carawayhaven/exceptions.h"

namespace carawayhaven::platform {
namespace {

constexpr char kRoutes[] = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"fiti","Kind":"read_your_writes","TimeoutMs":1000,
   "SloMs":900,"Priority":2,"Service":"huvo","MaxStalenessMs":2500},
  {"Name":"r2","Host":"lepu","Kind":"primary","TimeoutMs":700,"Service":"huvo"}],
  "Services":[{"Name":"huvo","MaxConnections":21,"SyncReplicas":1}],
  "Limits":{"TxIdleMs":3000}})";

constexpr char kEntry[] =
    R"({"Service":"huvo","Address":"10.1.0.9:80","Zone":"mendoza","Slots":3,
        "State":"ready","DbRole":"replica","Sequence":4,"born":1700000000000})";

StoredObject Entry(const std::string& text) {
  return {"servers/i-7f3a", text, MakeVersion(3, 5), false};
}

class DocumentsOfThePlatform : public ::testing::Test {
 protected:
  Documents documents_;
};

TEST_F(DocumentsOfThePlatform, RoutesAreDecodedIntoDatabases) {
  const RouteTable table = documents_.DecodeRoutes(kRoutes);
  EXPECT_EQ(table.version, 7U);
  const DatabaseRoute& route = table.databases.at("fiti");
  EXPECT_EQ(route.service, "huvo");
  EXPECT_EQ(route.consistency, Consistency::kReadYourWrites);
  EXPECT_EQ(route.max_age, std::chrono::milliseconds(2500));
  EXPECT_EQ(route.latency_objective, std::chrono::milliseconds(900));
  EXPECT_EQ(table.databases.at("lepu").consistency, Consistency::kPrimary);
  EXPECT_EQ(table.services.at("huvo").connections, 21U);
  EXPECT_EQ(table.services.at("huvo").sync_replicas, 1U);
  EXPECT_EQ(table.transaction_idle_timeout, std::chrono::seconds(3));
}

TEST_F(DocumentsOfThePlatform, EntryIsDecodedIntoAnEndpoint) {
  const EndpointRecord record = documents_.DecodeEndpoint(Entry(kEntry));
  EXPECT_EQ(record.name, "i-7f3a");
  EXPECT_EQ(record.slots, 3U);
  EXPECT_FALSE(record.leaving);
  EXPECT_FALSE(record.claims_primary);
  EXPECT_EQ(record.started_ms, 1700000000000U);
  EXPECT_EQ(record.registry_era, 3U);
}

TEST_F(DocumentsOfThePlatform, EntryOfAnotherWriterNamesNoEndpoint) {
  for (const char* text :
       {"\"bytes\"", "{}", "not json",
        R"({"Service":7,"Address":"a","Zone":"z","State":"ready"})",
        R"({"Service":"s","Address":"a","Zone":"z","State":"asleep"})",
        R"({"Service":"s","Zone":"z","State":"ready"})"}) {
    EXPECT_THROW(documents_.DecodeEndpoint(Entry(text)), DecodeError) << text;
  }
}

TEST_F(DocumentsOfThePlatform, RoutesWithoutVersionAreRefused) {
  EXPECT_THROW(documents_.DecodeRoutes("{}"), DecodeError);
  EXPECT_THROW(documents_.DecodeRoutes(R"({"Version":1})"), DecodeError);
}

TEST_F(DocumentsOfThePlatform, BytesAreCorruptedTextIsDecodedOrRejected) {
  std::mt19937_64 random(1);
  const std::string routes = kRoutes;
  const std::string entry = kEntry;
  for (int round = 0; round < 3000; ++round) {
    std::string text = round % 2 == 0 ? routes : entry;
    for (int i = 0; i < 3; ++i) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    try {
      if (round % 2 == 0) {
        documents_.DecodeRoutes(text);
      } else {
        documents_.DecodeEndpoint(Entry(text));
      }
    } catch (const DecodeError&) {
      continue;
    }
  }
}

}  // namespace
}  // namespace carawayhaven::platform
