#include "Protocol/Configurations/ConfigurationEncoding.h"
#include "Protocol/ConfigurationText.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace teaselhold;
using namespace teaselhold::protocol;

// Guards against parts of an accepted configuration that its stored form cannot
// hold, or gives back changed.

namespace {

/// Draws parts of any size from a seed.
class PartsSource
{
public:
  explicit PartsSource(unsigned aSeed)
    : random_(aSeed)
  {
  }

  ConfigurationParts Draw()
  {
    ConfigurationParts parts;
    parts.requiresKeys = Draw(1) == 1;
    for (std::size_t i = Draw(5); i > 0; --i) {
      parts.services.push_back({ Name(), Names(), Draw(1) == 1 });
    }
    for (std::size_t i = Draw(8); i > 0; --i) {
      parts.routes.push_back(Route());
    }
    for (std::size_t i = Draw(4); i > 0; --i) {
      parts.accounts.push_back(Account());
    }
    if (Draw(1) == 1) {
      parts.limits = state::ClientLimits{
        static_cast<std::uint32_t>(Draw(100000)),
        Draw(1ULL << 32U),
        std::chrono::milliseconds(Draw(100000)),
        std::chrono::milliseconds(Draw(100000)),
      };
    }
    return parts;
  }

private:
  /// @return a number from 0 to aLargest.
  std::uint64_t Draw(std::uint64_t aLargest)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aLargest)(random_);
  }

  /// A name of any bytes.
  std::string Name()
  {
    constexpr std::size_t kMaxLength = 300;
    std::string name = std::to_string(++names_);
    for (auto length = Draw(3) == 0 ? Draw(kMaxLength) : Draw(6); length > 0;
         --length) {
      name += static_cast<char>(Draw(255));
    }
    return name;
  }

  std::vector<std::string> Names()
  {
    std::vector<std::string> names(Draw(3));
    std::ranges::generate(names, [this] { return Name(); });
    return names;
  }

  state::RouteSpec Route()
  {
    state::RouteSpec route;
    route.name = Name();
    route.method = Name();
    route.pathPrefix = Name();
    route.host = Draw(1) == 1 ? "" : Name();
    route.service = Draw(1) == 1 ? "" : Name();
    for (std::size_t i = Draw(3); i > 0; --i) {
      route.targets.push_back({ Name(), static_cast<std::uint32_t>(Draw(9)) });
    }
    route.requestClass =
      state::kRequestClassNames[Draw(state::kRequestClassNames.size() - 1)]
        .value;
    route.isIdempotent = Draw(1) == 1;
    route.timeout = std::chrono::milliseconds(Draw(600000));
    route.latencyObjective = std::chrono::milliseconds(Draw(1) * 700);
    route.maxAttempts = static_cast<std::uint32_t>(Draw(4));
    route.priority = static_cast<std::uint32_t>(Draw(5));
    route.isPublic = Draw(1) == 1;
    return route;
  }

  state::AccountSpec Account()
  {
    state::AccountSpec account;
    account.name = Name();
    account.maxInFlight = static_cast<std::uint32_t>(Draw(3));
    if (Draw(1) == 1) {
      account.priority = static_cast<std::uint32_t>(Draw(3));
    }
    if (Draw(1) == 1) {
      account.requestsPerSecond = static_cast<double>(1 + Draw(1000)) / 7;
      account.burst = static_cast<std::uint32_t>(Draw(1000));
    }
    for (auto keys = Draw(2) == 0 ? Draw(2000) : Draw(5); keys > 0; --keys) {
      account.keyDigests.push_back(state::DigestOfKey(Name()));
    }
    std::ranges::sort(account.keyDigests);
    return account;
  }

  std::mt19937 random_;
  std::size_t names_ = 0;
};

void
CheckSame(const state::RouteSpec& aOne, const state::RouteSpec& aOther)
{
  CHECK(aOne.name == aOther.name);
  CHECK(aOne.method == aOther.method);
  CHECK(aOne.pathPrefix == aOther.pathPrefix);
  CHECK(aOne.host == aOther.host);
  CHECK(aOne.service == aOther.service);
  CHECK(aOne.requestClass == aOther.requestClass);
  CHECK(aOne.isIdempotent == aOther.isIdempotent);
  CHECK(aOne.timeout == aOther.timeout);
  CHECK(aOne.latencyObjective == aOther.latencyObjective);
  CHECK(aOne.maxAttempts == aOther.maxAttempts);
  CHECK(aOne.priority == aOther.priority);
  CHECK(aOne.isPublic == aOther.isPublic);
  REQUIRE(aOne.targets.size() == aOther.targets.size());
  for (std::size_t i = 0; i < aOne.targets.size(); ++i) {
    CHECK(aOne.targets[i].service == aOther.targets[i].service);
    CHECK(aOne.targets[i].weight == aOther.targets[i].weight);
  }
}

} // namespace

TEST_CASE("an encoded configuration gives all parts back")
{
  constexpr unsigned kSeeds = 200;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const auto parts = PartsSource(seed).Draw();
    const auto text = EncodeConfiguration(parts);
    REQUIRE(IsEncodedConfiguration(text));
    const auto decoded = DecodeConfiguration(text);
    REQUIRE(decoded);
    CHECK(decoded->requiresKeys == parts.requiresKeys);
    CHECK(decoded->limits == parts.limits);
    REQUIRE(decoded->services.size() == parts.services.size());
    for (std::size_t i = 0; i < parts.services.size(); ++i) {
      CHECK(decoded->services[i].name == parts.services[i].name);
      CHECK(decoded->services[i].dependencies ==
            parts.services[i].dependencies);
      CHECK(decoded->services[i].isEntry == parts.services[i].isEntry);
    }
    REQUIRE(decoded->routes.size() == parts.routes.size());
    for (std::size_t i = 0; i < parts.routes.size(); ++i) {
      CheckSame(decoded->routes[i], parts.routes[i]);
    }
    CHECK(decoded->accounts == parts.accounts);
  }
}

TEST_CASE("a damaged encoding is refused")
{
  // Guards against a version in force without what a damaged part says.
  ConfigurationParts parts = PartsSource(7).Draw();
  parts.accounts.push_back({ "one", 0, { state::DigestOfKey("key") } });
  const auto text = EncodeConfiguration(parts);
  for (const std::string damage : { "[route",
                                    "[thing x]\n",
                                    "speed=7 \n",
                                    "timeout=x \n",
                                    "[keys two ]\n",
                                    "0123\n" }) {
    CAPTURE(damage);
    CHECK_FALSE(DecodeConfiguration(text + damage));
  }
}

TEST_CASE("no operators' text is taken for an encoded configuration")
{
  ConfigurationParts parts;
  parts.services.push_back({ "visits", {}, true });
  const auto text = EncodeConfiguration(parts);
  CHECK(CompileConfiguration(text, 1));
  CHECK_FALSE(CompileSubmission(text, 1));
  CHECK_FALSE(IsEncodedConfiguration("# teaselhold-configuration 1\n"));
}
