#include "Coordination/ConfigurationDelta.h"
#include "Protocol/ConfigurationText.h"
#include "State/KeyDigest.h"
#include "admin.pb.h"
#include "platform/Json.h"
#include "platform/OperatorConfiguration.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace teaselhold;
using platform::Json;

// Guards against valid items of an accepted document that are lost on the way
// into force: by the translation, by a delta, or as the version is built.

namespace {

struct DrawnRoute
{
  std::string host;
  std::string prefix;
  std::set<std::string> services;
};

struct DrawnDocument
{
  Json json;
  std::vector<DrawnRoute> routes;
  /// The account of each key.
  std::map<std::string, std::string> keys;
};

/// Draws documents of names of any length and script, long lists and odd values
/// from a seed.
class DocumentSource
{
public:
  explicit DocumentSource(unsigned aSeed)
    : random_(aSeed)
  {
    for (std::size_t i = 1 + Draw(5); i > 0; --i) {
      services_.push_back(Name(""));
    }
  }

  DrawnDocument DrawDocument(unsigned aVersion)
  {
    DrawnDocument document;
    document.json = { { "version", "r" + std::to_string(aVersion) },
                      { "services", Json::array() },
                      { "tenants", Json::array() },
                      { "virtualHosts", Json::array() } };
    for (const auto& service : services_) {
      document.json["services"].push_back({ { "name", service } });
    }
    for (std::size_t i = Draw(6); i > 0; --i) {
      AddHost(document);
    }
    for (std::size_t i = Draw(4); i > 0; --i) {
      AddAccount(document);
    }
    return document;
  }

  /// Changes a few items of a document.
  DrawnDocument Change(const DrawnDocument& aDocument, unsigned aVersion)
  {
    auto document = aDocument;
    document.json["version"] = "r" + std::to_string(aVersion);
    AddHost(document);
    AddAccount(document);
    auto& accounts = document.json["tenants"];
    auto& keys = accounts[Draw(accounts.size() - 1)]["apiKeys"];
    if (!keys.empty()) {
      document.keys.erase(keys[0].get<std::string>());
      keys.erase(keys.begin());
    }
    return document;
  }

private:
  std::size_t Draw(std::size_t aLargest)
  {
    return std::uniform_int_distribution<std::size_t>(0, aLargest)(random_);
  }

  /// A name that differs from all earlier ones and begins with a text.
  std::string Name(const std::string& aBegin)
  {
    static const std::vector<std::string> kParts{
      "a", "Z", "9", "-",   "_",  ".", "ő", "中", " ", "/x",
      "%", ":", ",", "[b]", "=c", "#", ";", "'",  "€", "%41"
    };
    constexpr std::size_t kLongName = 120;
    auto name = aBegin + std::to_string(++names_);
    for (auto i = Draw(4) == 0 ? Draw(kLongName) : Draw(5); i > 0; --i) {
      name += kParts[Draw(kParts.size() - 1)];
    }
    return name + "z";
  }

  Json Service(DrawnRoute& aRoute)
  {
    Json route = Json::object();
    if (Draw(3) > 0) {
      const auto& service = services_[Draw(services_.size() - 1)];
      aRoute.services = { service };
      route["service"] = service;
      return route;
    }
    route["weightedTargets"] = Json::array();
    for (const auto& service : services_) {
      const auto weight = Draw(3);
      route["weightedTargets"].push_back(
        { { "service", service }, { "weight", weight } });
      aRoute.services.insert(service);
    }
    return route;
  }

  void AddHost(DrawnDocument& aDocument)
  {
    static const std::vector<std::string> kEnds{ ".example", ":8080", "" };
    const auto host = Name("h") + kEnds[Draw(kEnds.size() - 1)];
    Json routes = Json::array();
    for (auto i = Draw(3) == 0 ? Draw(60) : Draw(4); i > 0; --i) {
      DrawnRoute drawn{ host, Name("/p") + "/", {} };
      // Paths hold neither of these, so that the route matches no request.
      const bool isMatchable =
        drawn.prefix.find_first_of(" #?") == std::string::npos;
      auto route = Service(drawn);
      route["name"] = Draw(2) == 0 ? "same" : Name("r");
      route["prefix"] = drawn.prefix;
      route["kind"] = Draw(1) == 0 ? "safe" : "unsafe";
      route["timeout"] = std::vector<std::string>{
        "0s", "0.1ms", "1500ms", "2.5s", "90000s"
      }[Draw(4)];
      route["public"] = Draw(1) == 0;
      if (isMatchable) {
        aDocument.routes.push_back(std::move(drawn));
      }
      routes.push_back(std::move(route));
    }
    aDocument.json["virtualHosts"].push_back(
      { { "host", host }, { "paths", routes } });
  }

  void AddAccount(DrawnDocument& aDocument)
  {
    constexpr std::size_t kManyKeys = 700;
    const auto account = Name("t");
    Json keys = Json::array();
    for (auto i = Draw(1) == 0 ? Draw(kManyKeys) : Draw(4); i > 0; --i) {
      const auto key = Name("k");
      keys.push_back(key);
      aDocument.keys.emplace(key, account);
    }
    aDocument.json["tenants"].push_back(
      { { "name", account }, { "apiKeys", keys } });
  }

  std::mt19937 random_;
  std::size_t names_ = 0;
  std::vector<std::string> services_;
};

std::string
Translate(const DrawnDocument& aDocument)
{
  wire::StoredConfiguration stored;
  REQUIRE(stored.ParseFromString(
    platform::TranslateConfiguration(aDocument.json.dump())));
  REQUIRE(stored.defect() == "");
  return stored.text();
}

void
CheckInForce(const DrawnDocument& aDocument, const std::string& aText)
{
  const auto compiled = protocol::CompileConfiguration(aText, 1);
  REQUIRE(compiled);
  const auto& configuration = **compiled;
  for (const auto& drawn : aDocument.routes) {
    const auto* route =
      configuration.FindRoute("GET", drawn.prefix + "x", drawn.host);
    REQUIRE(route != nullptr);
    CHECK(route->pathPrefix + "/" == drawn.prefix);
    CHECK(route->timeout.count() > 0);
    std::set<std::string> services;
    if (!route->service.empty()) {
      services.insert(route->service);
    }
    for (const auto& target : route->targets) {
      services.insert(target.service);
    }
    CHECK(services == drawn.services);
  }
  std::size_t keys = 0;
  for (const auto& account : configuration.Accounts()) {
    keys += account.keyDigests.size();
  }
  CHECK(keys == aDocument.keys.size());
  for (const auto& [key, account] : aDocument.keys) {
    const auto* holder =
      configuration.FindAccountByKey(state::DigestOfKey(key));
    REQUIRE(holder != nullptr);
    CHECK(holder->name == account);
  }
}

} // namespace

TEST_CASE("each valid item of a drawn document comes into force")
{
  constexpr unsigned kSeeds = 60;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    DocumentSource source(seed);
    const auto first = source.DrawDocument(1);
    const auto firstText = Translate(first);
    CheckInForce(first, firstText);
    const auto second = source.Change(first, 2);
    const auto secondText = Translate(second);
    CheckInForce(second, secondText);
    const auto delta = coordination::MakeDelta(firstText, secondText);
    if (!delta) {
      continue;
    }
    const auto applied = coordination::ApplyDelta(firstText, *delta);
    REQUIRE(applied);
    CHECK(*applied == secondText);
  }
}

TEST_CASE("a key that is withdrawn from a large account is a small change")
{
  // Guards against a revocation that is too large for the log of changes, so
  // that every node reads the whole configuration.
  constexpr int kKeys = 5000;
  constexpr std::size_t kMaxChangeBytes = 16 * 1024;
  Json keys = Json::array();
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back("key-" + std::to_string(i));
  }
  DrawnDocument document;
  document.json = {
    { "version", "r1" },
    { "services", Json::array() },
    { "virtualHosts", Json::array() },
    { "tenants", Json::array({ { { "name", "large" }, { "apiKeys", keys } } }) }
  };
  const auto before = Translate(document);
  document.json["tenants"][0]["apiKeys"].erase(kKeys / 2);
  const auto after = Translate(document);
  const auto delta = coordination::MakeDelta(before, after);
  REQUIRE(delta);
  std::size_t bytes = 0;
  for (const auto& section : *delta) {
    bytes += section.ByteSizeLong();
  }
  CHECK(bytes < kMaxChangeBytes);
}
