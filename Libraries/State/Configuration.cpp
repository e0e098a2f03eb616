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
  if (aPath.size() > 1 && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

std::vector<std::string>
ServicesOf(const RouteSpec& aRoute)
{
  std::vector<std::string> services;
  if (!aRoute.service.empty()) {
    services.push_back(aRoute.service);
  }
  for (const auto& target : aRoute.targets) {
    services.push_back(target.service);
  }
  return services;
}

tl::unexpected<StateError>
Invalid(std::string aMessage)
{
  return tl::make_unexpected(
    StateError{ StateErrorCode::InvalidArgument, std::move(aMessage) });
}

} // namespace

std::string
MatchKey(const RouteSpec& aRoute)
{
  return aRoute.host + " " +
         RouteKey(aRoute.method, WithoutTrailingSlash(aRoute.pathPrefix));
}

const ServiceSpec*
Configuration::FindService(std::string_view aName) const
{
  const auto found = serviceIndex_.find(aName);
  return found == serviceIndex_.end() ? nullptr : &services_[found->second];
}

const AccountSpec*
Configuration::FindAccount(std::string_view aName) const
{
  const auto found = accountIndex_.find(aName);
  return found == accountIndex_.end() ? nullptr : &accounts_[found->second];
}

const AccountSpec*
Configuration::FindAccountByKey(const KeyDigest& aDigest) const
{
  const auto found = std::ranges::lower_bound(
    keyIndex_, aDigest, {}, &std::pair<KeyDigest, std::size_t>::first);
  const bool isFound = found != keyIndex_.end() && found->first == aDigest;
  return isFound ? &accounts_[found->second] : nullptr;
}

const RouteSpec*
Configuration::FindExact(const RouteIndex& aIndex,
                         std::string_view aMethod,
                         std::string_view aPrefix) const
{
  for (const auto method : { aMethod, std::string_view(kAnyMethod) }) {
    const auto found = aIndex.find(RouteKey(method, aPrefix));
    if (found != aIndex.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const RouteSpec*
Configuration::FindRoute(std::string_view aMethod,
                         std::string_view aTarget,
                         std::string_view aHost) const
{
  auto index = routeIndex_.find(aHost);
  if (index == routeIndex_.end()) {
    index = routeIndex_.find(aHost.substr(0, aHost.find(':')));
  }
  if (index == routeIndex_.end()) {
    index = routeIndex_.find("");
  }
  if (index == routeIndex_.end()) {
    return nullptr;
  }
  const auto whole = aTarget.substr(0, aTarget.find('?'));
  auto path = WithoutTrailingSlash(whole);
  while (!path.empty()) {
    const auto* route = FindExact(index->second, aMethod, path);
    const bool isWholePath = path.size() == whole.size();
    if (route != nullptr && !(route->isSubtreeOnly && isWholePath)) {
      return route;
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
  aRoute.isSubtreeOnly =
    aRoute.pathPrefix.size() > 1 && aRoute.pathPrefix.ends_with('/');
  aRoute.pathPrefix = WithoutTrailingSlash(aRoute.pathPrefix);
  configuration_->routes_.push_back(std::move(aRoute));
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::AddAccount(AccountSpec aAccount)
{
  configuration_->accounts_.push_back(std::move(aAccount));
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::SetLimits(ClientLimits aLimits)
{
  configuration_->limits_ = aLimits;
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::RequireKeys()
{
  configuration_->requiresKeys_ = true;
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
    for (const auto& service : ServicesOf(route)) {
      if (built->FindService(service) == nullptr) {
        return Invalid("route \"" + route.name + "\" names service \"" +
                       service + "\", which does not exist");
      }
    }
    const auto key = RouteKey(route.method, route.pathPrefix);
    if (!built->routeIndex_[route.host].emplace(key, i).second) {
      return Invalid("two routes match \"" + key + "\"");
    }
  }
  for (std::size_t i = 0; i < built->accounts_.size(); ++i) {
    const auto& account = built->accounts_[i];
    if (!built->accountIndex_.emplace(account.name, i).second) {
      return Invalid("account \"" + account.name + "\" is defined twice");
    }
    for (const auto& digest : account.keyDigests) {
      built->keyIndex_.emplace_back(digest, i);
    }
    // An account of which only max_in_flight is known names itself in a header
    // and holds no keys.
    built->requiresKeys_ = built->requiresKeys_ || account.maxInFlight == 0 ||
                           !account.keyDigests.empty();
  }
  std::ranges::sort(built->keyIndex_);
  const auto twice =
    std::ranges::adjacent_find(built->keyIndex_,
                               std::ranges::equal_to(),
                               &std::pair<KeyDigest, std::size_t>::first);
  if (twice != built->keyIndex_.end()) {
    return Invalid("account \"" + built->accounts_[twice->second].name +
                   "\" has a key that stands twice");
  }
  return built;
}

std::uint64_t
DigestOfText(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

} // namespace teaselhold::state
