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

TEST_CASE("a document of any size that the store takes comes into force")
{
  // Guards against a configuration that the platform has accepted and every
  // node refuses, because its translation is longer than the document.
  constexpr std::size_t kMaxValueBytes = 1048576;
  std::string document =
    R"({"version":"r12","services":[{"name":"huvo11a"}],"virtualHosts":[)"
    R"({"host":"one.example","paths":[)";
  const std::string end = "]}]}";
  // The shortest routes give the most of them, long ones the longest text.
  const bool isShort = GENERATE(true, false);
  const std::string rest =
    isShort ? R"(/","kind":"safe","timeout":"1s","service":"huvo11a"})"
            : R"(/ab12/","kind":"safe","timeout":"1500ms","targetLatency":)"
              R"("600ms","priority":1,"service":"huvo11a","maxAttempts":2})";
  std::size_t routes = 0;
  while (true) {
    const auto number = std::to_string(routes);
    const auto route = std::string(routes == 0 ? "" : ",") + R"({"name":"r)" +
                       number + R"(","prefix":"/p)" + number + rest;
    if (document.size() + route.size() + end.size() > kMaxValueBytes) {
      break;
    }
    document += route;
    ++routes;
  }
  document += end;
  const auto stored = Translate(document);
  CHECK(stored.defect() == "");
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  CHECK((*compiled)->Routes().size() == routes);
}

TEST_CASE("a platform route is translated with all its settings")
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

TEST_CASE("an unreadable document gives a defect instead of a text")
{
  const std::string good = kDocument;
  for (const auto& bad : { good.substr(0, good.size() / 2),
                           Replace(good, "\"r12\"", "12"),
                           Replace(good, "\"virtualHosts\"", "\"hosts\""),
                           Replace(good, "\"services\"", "\"names\"") }) {
    const auto stored = Translate(bad);
    CHECK_FALSE(stored.defect().empty());
    CHECK(stored.text().empty());
  }
}

TEST_CASE("an unreadable member of one route harms no other route")
{
  // Guards against a version that is refused whole for one member of one route.
  struct Case
  {
    const char* known;
    const char* changed;
    const char* note;
  };
  const auto item =
    GENERATE(Case{ R"("kind":"safe")",
                   R"("type":"safe")",
                   "route r-1 has the unknown kind null" },
             Case{ R"("timeout":"1.2s")",
                   R"("timeout":1200)",
                   "route r-1 has the unknown timeout 1200" },
             Case{ R"("weight":10)",
                   R"("weight":"ten")",
                   "route r-1 has the unknown target "
                   "{\"service\":\"kafi81c\",\"weight\":\"ten\"}" });
  const auto stored = Translate(Replace(kDocument, item.known, item.changed));
  CAPTURE(item.changed);
  REQUIRE(stored.notes_size() == 1);
  CHECK(stored.notes(0) == item.note);
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto& configuration = **compiled;
  CHECK(configuration.Routes().size() == 3);
  const auto* harmed =
    configuration.FindRoute("GET", "/lepu270/2f", "one.example");
  REQUIRE(harmed != nullptr);
  CHECK(harmed->targets.size() == 2);
  CHECK(harmed->timeout >= std::chrono::milliseconds(1200));
  CHECK(configuration.FindRoute("POST", "/lepu270/ny95/a", "one.example")
          ->service == "kafi81c");
}

TEST_CASE("a route to a service that is not listed is served by it")
{
  // Guards against a version that is refused whole for one route.
  const auto stored = Translate(
    Replace(kDocument, "\"service\":\"kafi81c\"}", "\"service\":\"none\"}"));
  REQUIRE(stored.notes_size() == 1);
  CHECK(stored.notes(0) == "route r-2 names service none, which is not listed");
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  CHECK((*compiled)->FindService("none") != nullptr);
  CHECK((*compiled)->Routes().size() == 3);
}

TEST_CASE("download routes are idempotent")
{
  const auto stored = Translate(
    Replace(kDocument, "\"kind\":\"unsafe\"", "\"kind\":\"download\""));
  CHECK(stored.notes().empty());
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto* route =
    (*compiled)->FindRoute("GET", "/lepu270/1", "two.example");
  REQUIRE(route != nullptr);
  CHECK(route->isIdempotent);
  CHECK(route->requestClass == state::RequestClass::Order);
}

TEST_CASE("an unknown kind of one route does not refuse the other routes")
{
  const auto unknown = GENERATE(R"("sometimes")", "7", R"({"of":"safe"})");
  const auto stored = Translate(Replace(
    kDocument, R"("kind":"safe")", std::string(R"("kind":)") + unknown));
  CHECK(stored.defect().empty());
  REQUIRE(stored.notes_size() == 1);
  CHECK(stored.notes(0) ==
        std::string("route r-1 has the unknown kind ") + unknown);
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto* route =
    (*compiled)->FindRoute("GET", "/lepu270/2f", "one.example");
  REQUIRE(route != nullptr);
  CHECK_FALSE(route->isIdempotent);
  CHECK(route->requestClass == state::RequestClass::Lookup);
  CHECK((*compiled)->Routes().size() == 3);
}

TEST_CASE("a member of a new type or size does not refuse the version")
{
  struct Case
  {
    const char* known;
    const char* changed;
    const char* note;
  };
  const auto item = GENERATE(
    Case{ R"("priority":2)",
          R"("priority":"low")",
          "route r-1 has the unknown priority \"low\"" },
    Case{ R"("priority":2)",
          R"("priority":-1)",
          "route r-1 has the unknown priority -1" },
    Case{ R"("maxAttempts":2)",
          R"("maxAttempts":"all")",
          "route r-1 has the unknown maxAttempts \"all\"" },
    Case{ R"("maxAttempts":2)", R"("maxAttempts":4294967297)", nullptr },
    Case{ R"("targetLatency":"600ms")",
          R"("targetLatency":600)",
          "route r-1 has the unknown targetLatency 600" },
    Case{ R"("timeout":"1.2s")", R"("timeout":"900s")", nullptr },
    Case{
      R"("maxBodyBytes":67108864)", R"("maxBodyBytes":8589934592)", nullptr },
    Case{ R"("maxHeaderBytes":16384)",
          R"("maxHeaderBytes":"16k")",
          "the list of limits has the unknown maxHeaderBytes \"16k\"" },
    Case{ R"("idleTimeout":"15000ms")",
          R"("idleTimeout":"0s")",
          "the list of limits has the unknown idleTimeout \"0s\"" },
    Case{ R"("services")", R"("regions":[{"x":1}],"services")", nullptr });
  const auto stored = Translate(Replace(kDocument, item.known, item.changed));
  CAPTURE(item.changed, stored.defect());
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  CHECK((*compiled)->Routes().size() == 3);
  if (item.note == nullptr) {
    CHECK(stored.notes().empty());
  } else {
    REQUIRE(stored.notes_size() == 1);
    CHECK(stored.notes(0) == item.note);
  }
}

TEST_CASE("an invalid maxAttempts means one attempt")
{
  const auto stored = Translate(
    Replace(kDocument, R"("maxAttempts":2)", R"("maxAttempts":"all")"));
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto* route =
    (*compiled)->FindRoute("GET", "/lepu270/2f", "one.example");
  REQUIRE(route != nullptr);
  CHECK(route->maxAttempts == 1);
}

TEST_CASE("weights with fractions or of any size keep their proportions")
{
  const auto [large, small] = GENERATE(
    std::make_pair("7.5", "2.5"), std::make_pair("12884901888", "4294967296"));
  auto document =
    Replace(kDocument, R"("weight":90)", std::string(R"("weight":)") + large);
  document =
    Replace(document, R"("weight":10)", std::string(R"("weight":)") + small);
  const auto stored = Translate(document);
  CAPTURE(large, stored.defect());
  const auto compiled = protocol::CompileConfiguration(stored.text(), 12);
  REQUIRE(compiled);
  const auto* split =
    (*compiled)->FindRoute("GET", "/lepu270/2f", "one.example");
  REQUIRE(split != nullptr);
  REQUIRE(split->targets.size() == 2);
  const double share = static_cast<double>(split->targets[0].weight) /
                       static_cast<double>(split->targets[1].weight);
  CHECK(share == Approx(3).epsilon(0.001));
}

TEST_CASE("unknown values in many routes give a bounded list of notes")
{
  std::string routes;
  for (int i = 0; i < 100; ++i) {
    const auto name = "r" + std::to_string(i);
    routes += (i == 0 ? "" : ",");
    routes += R"({"name":")" + name + R"(","prefix":"/)" + name +
              R"(/","kind":"odd","timeout":"1s","service":"kafi81c"})";
  }
  const auto stored = Translate(
    R"({"version":"r3","services":[{"name":"kafi81c"}],"virtualHosts":[)"
    R"({"host":"one.example","paths":[)" +
    routes + "]}]}");
  REQUIRE(stored.notes_size() == 9);
  CHECK(stored.notes(8) == "92 more of the kind");
}
