#pragma once

#include "State/RequestClass.h"
#include "State/StateError.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
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

struct RouteSpec
{
  std::string name;
  std::string method;
  std::string pathPrefix;
  std::string service;
  RequestClass requestClass = RequestClass::Lookup;
  bool isIdempotent = false;
  std::chrono::milliseconds timeout{ 1000 };
};

struct TenantSpec
{
  std::string name;
  /// Requests in flight beside one upstream.
  std::uint32_t maxInFlight = 0;
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
  const std::vector<TenantSpec>& Tenants() const { return tenants_; }

  /// @return nullptr if there is no such service.
  const ServiceSpec* FindService(std::string_view aName) const;

  /// @return nullptr if the tenant has no limit of its own.
  const TenantSpec* FindTenant(std::string_view aName) const;

  /// Returns the route with the longest matching path prefix. A prefix matches
  /// whole path segments; the query is ignored.
  const RouteSpec* FindRoute(std::string_view aMethod,
                             std::string_view aTarget) const;

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
  std::vector<TenantSpec> tenants_;
  std::map<std::string, std::size_t, std::less<>> serviceIndex_;
  std::map<std::string, std::size_t, std::less<>> tenantIndex_;
  /// Keyed by "METHOD /prefix".
  std::unordered_map<std::string, std::size_t> routeIndex_;
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
  ConfigurationBuilder& AddTenant(TenantSpec aTenant);

  /// Fails if a name stands twice or a route or dependency names a service
  /// that does not exist. Leaves the builder empty.
  tl::expected<ConfigurationPointer, StateError> Build();

private:
  std::shared_ptr<Configuration> configuration_{ new Configuration };
};

/// @return xxHash64 of a configuration text.
std::uint64_t
DigestOfText(std::string_view aText);

} // namespace teaselhold::state
