#pragma once

#include "State/KeyDigest.h"
#include "State/RequestClass.h"
#include "State/StateError.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselhold::state {

/// Numbers accepted configurations; each accepted change adds one. 0 means
/// that there is none yet.
using Generation = std::uint64_t;

struct ServiceSpec
{
  std::string name;
  std::vector<std::string> dependencies;
  /// Callers outside the mesh may call it through any node.
  bool isEntry = false;
};

/// A service that gets a share of a route's requests.
struct RouteTarget
{
  std::string service;
  std::uint32_t weight = 1;
};

/// The priority of a route that names none.
inline constexpr std::uint32_t kDefaultPriority = 2;

/// The method of a route that takes every method.
inline constexpr const char* kAnyMethod = "ANY";

struct RouteSpec
{
  std::string name;
  /// kAnyMethod matches every method.
  std::string method;
  /// Without a trailing slash once it is built.
  std::string pathPrefix;
  /// Empty if the route has targets. A route with neither refuses its requests.
  std::string service;
  RequestClass requestClass = RequestClass::Lookup;
  bool isIdempotent = false;
  std::chrono::milliseconds timeout{ 1000 };
  /// The Host that the route belongs to; empty matches every host that has no
  /// routes of its own.
  std::string host = {};
  /// Two or more services that share the requests by weight.
  std::vector<RouteTarget> targets = {};
  /// An answer within this time has its full worth; 0 if the operator named
  /// none.
  std::chrono::milliseconds latencyObjective{ 0 };
  /// Upstreams to which one request may be delivered; 0 leaves it to the
  /// retry policy.
  std::uint32_t maxAttempts = 0;
  /// The prefix was written with a trailing slash: the path that equals it
  /// without the slash does not match.
  bool isSubtreeOnly = false;
  /// Rank among the requests that compete for an upstream, 0 first. The
  /// priority of a client account takes precedence.
  std::uint32_t priority = kDefaultPriority;
  /// Requests need no key of a client account.
  bool isPublic = false;
};

/// @return a text that two routes share if they match the same requests.
std::string
MatchKey(const RouteSpec& aRoute);

/// What a client may send, and how long it may take or stay idle. Applies to
/// the connections of callers.
struct ClientLimits
{
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024;
  std::chrono::milliseconds headerTimeout{ 5000 };
  std::chrono::milliseconds idleTimeout{ 60000 };

  bool operator==(const ClientLimits&) const = default;
};

/// A client account. Its requests carry one of its keys.
struct AccountSpec
{
  std::string name;
  /// Requests in flight beside one upstream; 0 for no limit.
  std::uint32_t maxInFlight = 0;
  std::vector<KeyDigest> keyDigests = {};
  /// Replaces the priority of the route; empty leaves it to the route.
  std::optional<std::uint32_t> priority = std::nullopt;
  /// Requests that all nodes together let pass: per second, and at once on top.
  /// A rate of 0 means no limit.
  double requestsPerSecond = 0;
  std::uint32_t burst = 0;

  bool operator==(const AccountSpec&) const = default;
};

/// One compiled operators' text. Immutable, so that it is put in force by
/// swapping one pointer.
class Configuration
{
public:
  Generation GetGeneration() const { return generation_; }

  /// xxHash64 of the text.
  std::uint64_t Digest() const { return digest_; }
  const std::string& Text() const { return text_; }

  const std::vector<ServiceSpec>& Services() const { return services_; }
  const std::vector<RouteSpec>& Routes() const { return routes_; }
  const std::vector<AccountSpec>& Accounts() const { return accounts_; }

  /// @return true if a request needs a key unless its route is public.
  bool RequiresKeys() const { return requiresKeys_; }

  /// @return nothing if the text names no limits.
  const std::optional<ClientLimits>& Limits() const { return limits_; }

  /// @return nullptr if there is no such service.
  const ServiceSpec* FindService(std::string_view aName) const;

  /// @return nullptr if there is no such account.
  const AccountSpec* FindAccount(std::string_view aName) const;

  /// @return nullptr if no account holds such a key.
  const AccountSpec* FindAccountByKey(const KeyDigest& aDigest) const;

  /// Returns the route with the longest matching path prefix among the routes
  /// of the host, or among those without a host if the host has none. A prefix
  /// matches whole path segments; the query is ignored, and so is the port of
  /// the host unless routes name it.
  /// @return nullptr if no route matches.
  const RouteSpec* FindRoute(std::string_view aMethod,
                             std::string_view aTarget,
                             std::string_view aHost = {}) const;

  /// Names the services that a node beside aService may call: its direct
  /// dependencies and every entry service, sorted.
  std::vector<std::string> Reach(std::string_view aService) const;

private:
  friend class ConfigurationBuilder;
  Configuration() = default;

  Generation generation_ = 0;
  std::uint64_t digest_ = 0;
  std::string text_;
  std::vector<ServiceSpec> services_;
  std::vector<RouteSpec> routes_;
  std::vector<AccountSpec> accounts_;
  std::map<std::string, std::size_t, std::less<>> serviceIndex_;
  std::map<std::string, std::size_t, std::less<>> accountIndex_;
  /// Of each key, in their order, with the position of the account.
  std::vector<std::pair<KeyDigest, std::size_t>> keyIndex_;
  bool requiresKeys_ = false;
  /// Routes of one host, keyed by "METHOD /prefix".
  using RouteIndex = std::unordered_map<std::string, std::size_t>;

  const RouteSpec* FindExact(const RouteIndex& aIndex,
                             std::string_view aMethod,
                             std::string_view aPrefix) const;

  std::map<std::string, RouteIndex, std::less<>> routeIndex_;
  std::optional<ClientLimits> limits_;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Builds a Configuration and checks that its parts refer to each other.
class ConfigurationBuilder
{
public:
  ConfigurationBuilder& SetGeneration(Generation aGeneration);
  ConfigurationBuilder& SetText(std::string aText);
  ConfigurationBuilder& AddService(ServiceSpec aService);
  ConfigurationBuilder& AddRoute(RouteSpec aRoute);
  ConfigurationBuilder& AddAccount(AccountSpec aAccount);
  ConfigurationBuilder& SetLimits(ClientLimits aLimits);
  /// Requests need keys even if no account holds one.
  ConfigurationBuilder& RequireKeys();

  /// Fails if a name or a key stands twice or a route or dependency names a
  /// service that does not exist. Leaves the builder empty.
  tl::expected<ConfigurationPointer, StateError> Build();

private:
  std::shared_ptr<Configuration> configuration_{ new Configuration };
};

/// @return xxHash64 of a configuration text.
std::uint64_t
DigestOfText(std::string_view aText);

} // namespace teaselhold::state
