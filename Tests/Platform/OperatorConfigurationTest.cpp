#include "platform/OperatorConfiguration.h"
#include "Protocol/ConfigurationText.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>
#include <string>

using namespace teaselhold;

namespace {

constexpr const char* kDocument = R"({"version":"r12","services":[
{"name":"huvo11a","maxConns":110},{"name":"kafi81c"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
"headerTimeout":"3s","idleTimeout":"15000ms"},
"virtualHosts":[{"host":"one.example","paths":[
{"name":"r-1","prefix":"/lepu270/","kind":"safe","timeout":"1.2s",
"targetLatency":"600ms","priority":2,"maxAttempts":2,
"weightedTargets":[{"service":"huvo11a","weight":90},
{"service":"kafi81c","weight":10}]},
{"name":"r-2","prefix":"/lepu270/ny95/","kind":"upload","timeout":"1500ms",
"targetLatency":"800ms","priority":1,"service":"kafi81c"}]},
{"host":"two.example","paths":[{"name":"r-1","prefix":"/lepu270/",
"kind":"unsafe","timeout":"1500ms","priority":0,"service":"huvo11a"}]}]})";

wire::StoredConfiguration
Translate(const std::string& aDocument)
{
  wire::StoredConfiguration stored;
  REQUIRE(stored.ParseFromString(platform::TranslateConfiguration(aDocument)));
  return stored;
}

std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto place = aText.find(aOld);
  REQUIRE(place != std::string::npos);
  return aText.replace(place, aOld.size(), aNew);
}

} // namespace

TEST_CASE("a platform's route arrives in the product with all that it says")
{
  const auto stored = Translate(kDocument);
  CHECK(stored.generation() == 12);
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto& configuration = **compiled;
  const auto* split =
    configuration.FindRoute("GET", "/lepu270/2f", "one.example:80");
  REQUIRE(split != nullptr);
  CHECK(split->isIdempotent);
  CHECK(split->timeout == std::chrono::milliseconds(1200));
  CHECK(split->latencyObjective == std::chrono::milliseconds(600));
  CHECK(split->maxAttempts == 2);
  REQUIRE(split->targets.size() == 2);
  CHECK(split->targets[1].weight == 10);
  const auto* upload =
    configuration.FindRoute("POST", "/lepu270/ny95/a", "one.example");
  REQUIRE(upload != nullptr);
  CHECK(upload->service == "kafi81c");
  CHECK_FALSE(upload->isIdempotent);
  CHECK(upload->requestClass == state::RequestClass::Upload);
  const auto* order =
    configuration.FindRoute("POST", "/lepu270/1", "two.example");
  REQUIRE(order != nullptr);
  CHECK(order->requestClass == state::RequestClass::Order);
  CHECK(configuration.FindRoute("GET", "/lepu270/1", "three.example") ==
        nullptr);
  CHECK(configuration.FindRoute("GET", "/lepu270x/1", "one.example") ==
        nullptr);
  // The prefix ends with a slash, so the path without it does not match.
  CHECK(configuration.FindRoute("GET", "/lepu270", "one.example") == nullptr);
  REQUIRE(configuration.Limits());
  CHECK(configuration.Limits()->idleTimeout == std::chrono::seconds(15));
  CHECK(configuration.Limits()->headerTimeout == std::chrono::seconds(3));
}

TEST_CASE("a document that cannot be read gives a defect instead of a text")
{
  const std::string good = kDocument;
  for (const auto& bad :
       { good.substr(0, good.size() / 2),
         Replace(good, "\"r12\"", "12"),
         Replace(good, "\"kind\":\"safe\"", "\"kind\":\"sometimes\""),
         Replace(good, "\"timeout\":\"1.2s\"", "\"timeout\":1200"),
         Replace(good, "\"virtualHosts\"", "\"hosts\""),
         Replace(good, "\"weight\":10", "\"weight\":\"ten\"") }) {
    const auto stored = Translate(bad);
    CHECK_FALSE(stored.defect().empty());
    CHECK(stored.text().empty());
  }
}

TEST_CASE("a route to a service that is not listed is refused as a whole")
{
  const auto stored = Translate(
    Replace(kDocument, "\"service\":\"kafi81c\"}", "\"service\":\"none\"}"));
  CHECK_FALSE(protocol::CompileConfiguration(stored.text(), 12).has_value());
}
