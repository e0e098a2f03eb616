#include "State/Configuration.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace teaselhold::state {

namespace {

std::string
RouteKey(std::string_view aMethod, std::string_view aPrefix)
{
  std::string key;
  key.reserve(aMethod.size() + aPrefix.size() + 1);
  key.append(aMethod).append(" ").append(aPrefix);
  return key;
}

std::string_view
WithoutTrailingSlash(std::string_view aPath)
{
  while (aPath.size() > 1 && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

tl::unexpected<StateError>
Invalid(std::string aMessage)
{
  return tl::make_unexpected(
    StateError{ StateErrorCode::InvalidArgument, std::move(aMessage) });
}

} // namespace

const ServiceSpec*
Configuration::FindService(std::string_view aName) const
{
  const auto found = serviceIndex_.find(aName);
  return found == serviceIndex_.end() ? nullptr : &services_[found->second];
}

const TenantSpec*
Configuration::FindTenant(std::string_view aName) const
{
  const auto found = tenantIndex_.find(aName);
  return found == tenantIndex_.end() ? nullptr : &tenants_[found->second];
}

const RouteSpec*
Configuration::FindRoute(std::string_view aMethod,
                         std::string_view aTarget) const
{
  auto path = WithoutTrailingSlash(aTarget.substr(0, aTarget.find('?')));
  while (!path.empty()) {
    const auto found = routeIndex_.find(RouteKey(aMethod, path));
    if (found != routeIndex_.end()) {
      return &routes_[found->second];
    }
    if (path == "/") {
      return nullptr;
    }
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, std::max<std::size_t>(slash, 1));
  }
  return nullptr;
}

std::vector<std::string>
Configuration::Reach(std::string_view aService) const
{
  std::set<std::string> names;
  if (const auto* service = FindService(aService)) {
    names.insert(service->dependencies.begin(), service->dependencies.end());
  }
  for (const auto& service : services_) {
    if (service.isEntry) {
      names.insert(service.name);
    }
  }
  return { names.begin(), names.end() };
}

ConfigurationBuilder&
ConfigurationBuilder::SetGeneration(Generation aGeneration)
{
  configuration_->generation_ = aGeneration;
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::SetText(std::string aText)
{
  configuration_->digest_ = DigestOfText(aText);
  configuration_->text_ = std::move(aText);
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::AddService(ServiceSpec aService)
{
  configuration_->services_.push_back(std::move(aService));
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::AddRoute(RouteSpec aRoute)
{
  aRoute.pathPrefix = WithoutTrailingSlash(aRoute.pathPrefix);
  configuration_->routes_.push_back(std::move(aRoute));
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::AddTenant(TenantSpec aTenant)
{
  configuration_->tenants_.push_back(std::move(aTenant));
  return *this;
}

tl::expected<ConfigurationPointer, StateError>
ConfigurationBuilder::Build()
{
  const auto built = std::exchange(
    configuration_, std::shared_ptr<Configuration>(new Configuration));
  for (std::size_t i = 0; i < built->services_.size(); ++i) {
    const auto& name = built->services_[i].name;
    if (!built->serviceIndex_.emplace(name, i).second) {
      return Invalid("service \"" + name + "\" is defined twice");
    }
  }
  for (const auto& service : built->services_) {
    for (const auto& dependency : service.dependencies) {
      if (built->FindService(dependency) == nullptr) {
        return Invalid("service \"" + service.name + "\" depends on \"" +
                       dependency + "\", which does not exist");
      }
    }
  }
  for (std::size_t i = 0; i < built->routes_.size(); ++i) {
    const auto& route = built->routes_[i];
    if (built->FindService(route.service) == nullptr) {
      return Invalid("route \"" + route.name + "\" names service \"" +
                     route.service + "\", which does not exist");
    }
    const auto key = RouteKey(route.method, route.pathPrefix);
    if (!built->routeIndex_.emplace(key, i).second) {
      return Invalid("two routes match \"" + key + "\"");
    }
  }
  for (std::size_t i = 0; i < built->tenants_.size(); ++i) {
    const auto& name = built->tenants_[i].name;
    if (!built->tenantIndex_.emplace(name, i).second) {
      return Invalid("tenant \"" + name + "\" is defined twice");
    }
  }
  return built;
}

std::uint64_t
DigestOfText(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

} // namespace teaselhold::state
