#include "Protocol/ConfigurationText.h"
#include "State/KeyDigest.h"
#include "admin.pb.h"
#include "platform/OperatorConfiguration.h"

#include <catch2/catch.hpp>
#include <string>

using namespace teaselhold;

// Guards against a version that the store has acknowledged and every node
// refuses whole: the routes that it moves stay with the old services, and the
// keys that it withdraws still open them.

namespace {

constexpr const char* kMovedRoute =
  R"({"name":"moved","prefix":"/moved/","kind":"safe","timeout":"1s",)"
  R"("service":"stock"})";
constexpr const char* kKeptAccount = R"({"name":"acme","apiKeys":["key-1"]})";

/// What a document may hold beside the moved route, which nothing else uses.
struct Form
{
  std::string name;
  std::string services = "";
  std::string accounts = "";
  std::string routes = "";
  std::string hosts = "";
};

std::string
Route(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aRest = R"("timeout":"1s","service":"orders")")
{
  return R"({"name":")" + aName + R"(","prefix":")" + aPrefix +
         R"(","kind":"safe",)" + aRest + "}";
}

std::string
Host(const std::string& aName, const std::string& aRoutes)
{
  return R"(,{"host":")" + aName + R"(","paths":[)" + aRoutes + "]}";
}

std::string
Document(const Form& aForm)
{
  return R"({"version":"r2","services":[{"name":"orders"},{"name":"stock"})" +
         aForm.services + R"(],"tenants":[)" + kKeptAccount + aForm.accounts +
         R"(],"virtualHosts":[{"host":"mesh.example","paths":[)" + kMovedRoute +
         aForm.routes + "]}" + aForm.hosts + "]}";
}

state::ConfigurationPointer
Accept(const std::string& aDocument)
{
  wire::StoredConfiguration stored;
  REQUIRE(stored.ParseFromString(platform::TranslateConfiguration(aDocument)));
  CHECK(stored.defect() == "");
  auto compiled = protocol::CompileConfiguration(stored.text(), 2);
  if (!compiled) {
    FAIL_CHECK(protocol::FormatErrors("text", compiled.error()));
    return nullptr;
  }
  return *compiled;
}

const state::RouteSpec*
Find(const state::ConfigurationPointer& aConfiguration,
     const std::string& aPath,
     const std::string& aHost = "mesh.example")
{
  return aConfiguration->FindRoute("GET", aPath, aHost);
}

const state::AccountSpec*
Holder(const state::ConfigurationPointer& aConfiguration,
       const std::string& aKey)
{
  return aConfiguration->FindAccountByKey(state::DigestOfKey(aKey));
}

std::vector<Form>
Forms()
{
  const auto account = [](const std::string& aText) { return "," + aText; };
  const auto service = [](const std::string& aName) {
    return R"(,{"name":")" + aName + R"("})";
  };
  const std::string longName(64, 'x');
  return {
    { "nothing", "", "", "", "" },
    { "account with a space",
      "",
      account(R"({"name":"two words","apiKeys":["k"]})"),
      "",
      "" },
    { "account beyond ASCII",
      "",
      account(R"({"name":"Someș","apiKeys":["k"]})"),
      "",
      "" },
    { "account with a control character",
      "",
      account(R"({"name":"a\nb","apiKeys":["k"]})"),
      "",
      "" },
    { "account without a name", "", account(R"({"apiKeys":["k"]})"), "", "" },
    { "account that is no object", "", account("7"), "", "" },
    { "account that is listed twice",
      "",
      account(R"({"name":"acme","apiKeys":["k"]})"),
      "",
      "" },
    { "account with a key of another one",
      "",
      account(R"({"name":"two","apiKeys":["key-1"]})"),
      "",
      "" },
    { "account whose keys are no list",
      "",
      account(R"({"name":"two","apiKeys":"k"})"),
      "",
      "" },
    { "service with a slash", service("a/b"), "", "", "" },
    { "service beyond ASCII", service("mérés"), "", "", "" },
    { "service of 64 bytes", service(longName), "", "", "" },
    { "service with a space", service("a b"), "", "", "" },
    { "service without a name", R"(,{"maxConns":7})", "", "", "" },
    { "service that is listed twice", service("orders"), "", "", "" },
    { "routes with confusable names",
      "",
      "",
      "",
      Host("one.example", Route("a", "/a/")) +
        Host("two.example", Route("a", "/a/")) +
        Host("three.example", Route("a.2", "/a/")) },
    { "route without a name", "", "", R"(,{"prefix":"/x/"})", "" },
    { "host with a port",
      "",
      "",
      "",
      Host("one.example:8080", Route("p", "/")) },
    { "host *", "", "", "", Host("*", Route("p", "/")) },
    { "host beyond ASCII", "", "", "", Host("öt.example", Route("p", "/")) },
    { "empty host", "", "", "", Host("", Route("p", "/")) },
    { "host without routes", "", "", "", R"(,{"host":"x"})" },
    { "prefix with a space", "", "", "," + Route("p", "/a b/"), "" },
    { "prefix with a question mark", "", "", "," + Route("p", "/a?b/"), "" },
    { "prefix without a slash", "", "", "," + Route("p", "a"), "" },
    { "empty prefix", "", "", "," + Route("p", ""), "" },
    { "the same prefix twice",
      "",
      "",
      "," + Route("p", "/p/") + "," + Route("q", "/p/"),
      "" },
    { "short timeout",
      "",
      "",
      "," + Route("p", "/p/", R"("timeout":"0.1ms","service":"orders")"),
      "" },
    { "timeout 0",
      "",
      "",
      "," + Route("p", "/p/", R"("timeout":"0s","service":"orders")"),
      "" },
    { "no timeout",
      "",
      "",
      "," + Route("p", "/p/", R"("service":"orders")"),
      "" },
    { "unlisted service",
      "",
      "",
      "," + Route("p", "/p/", R"("timeout":"1s","service":"none")"),
      "" },
    { "no service", "", "", "," + Route("p", "/p/", R"("timeout":"1s")"), "" },
    { "weights that are all 0",
      "",
      "",
      "," + Route("p",
                  "/p/",
                  R"("timeout":"1s","weightedTargets":[{"service":"orders",)"
                  R"("weight":0},{"service":"stock","weight":0}])"),
      "" },
    { "no weights",
      "",
      "",
      "," + Route("p", "/p/", R"("timeout":"1s","weightedTargets":[])"),
      "" },
    { "negative weight",
      "",
      "",
      "," + Route("p",
                  "/p/",
                  R"("timeout":"1s","weightedTargets":[{"service":"orders",)"
                  R"("weight":-1}])"),
      "" },
  };
}

} // namespace

TEST_CASE("a version in which one account has 300 keys comes into force")
{
  constexpr int kKeys = 300;
  std::string keys;
  for (int i = 0; i < kKeys; ++i) {
    keys +=
      (i == 0 ? "\"" : ",\"") + std::string("more-") + std::to_string(i) + "\"";
  }
  const auto configuration = Accept(
    Document({ "", "", R"(,{"name":"large","apiKeys":[)" + keys + "]}" }));
  REQUIRE(configuration != nullptr);
  CHECK(Find(configuration, "/moved/x")->service == "stock");
  CHECK(Holder(configuration, "withdrawn") == nullptr);
  for (int i = 0; i < kKeys; ++i) {
    const auto* holder = Holder(configuration, "more-" + std::to_string(i));
    REQUIRE(holder != nullptr);
    CHECK(holder->name == "large");
  }
}

TEST_CASE("an item of any form leaves the rest of its version in force")
{
  for (const auto& form : Forms()) {
    CAPTURE(form.name);
    const auto configuration = Accept(Document(form));
    if (configuration == nullptr) {
      continue;
    }
    const auto* moved = Find(configuration, "/moved/x");
    REQUIRE(moved != nullptr);
    CHECK(moved->service == "stock");
    CHECK(moved->host == "mesh.example");
    REQUIRE(Holder(configuration, "key-1") != nullptr);
    CHECK(Holder(configuration, "key-1")->name == "acme");
    CHECK(Holder(configuration, "withdrawn") == nullptr);
    CHECK(configuration->RequiresKeys());
    CHECK(Find(configuration, "/none/x", "none.example") == nullptr);
  }
}
