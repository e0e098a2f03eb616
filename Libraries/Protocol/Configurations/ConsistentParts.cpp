#include "Protocol/Configurations/ConsistentParts.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace teaselhold::protocol {

namespace {

using Notes = std::vector<std::string>;

void
DropRepeatedServices(ConfigurationParts& aParts, Notes& aNotes)
{
  std::unordered_set<std::string> names;
  std::erase_if(aParts.services, [&](const state::ServiceSpec& aService) {
    if (names.insert(aService.name).second) {
      return false;
    }
    aNotes.push_back("service " + aService.name + " is listed twice");
    return true;
  });
}

void
DropRepeatedRoutes(ConfigurationParts& aParts, Notes& aNotes)
{
  std::unordered_map<std::string, std::string> nameByMatch;
  std::erase_if(aParts.routes, [&](const state::RouteSpec& aRoute) {
    const auto match = state::MatchKey(aRoute);
    const auto [first, isNew] = nameByMatch.emplace(match, aRoute.name);
    if (isNew) {
      return false;
    }
    aNotes.push_back("route " + aRoute.name +
                     " matches the same requests as route " + first->second +
                     ", which counts");
    return true;
  });
}

/// Routes are told apart by their names, also in logs and metrics.
void
MakeRouteNamesUnique(ConfigurationParts& aParts)
{
  std::unordered_set<std::string> taken;
  std::unordered_map<std::string, unsigned> uses;
  for (const auto& route : aParts.routes) {
    taken.insert(route.name);
  }
  std::unordered_set<std::string> given;
  for (auto& route : aParts.routes) {
    if (given.insert(route.name).second) {
      continue;
    }
    auto& count = uses.try_emplace(route.name, 1).first->second;
    std::string name;
    do {
      name = route.name + "." + std::to_string(++count);
    } while (taken.contains(name));
    taken.insert(name);
    given.insert(name);
    route.name = std::move(name);
  }
}

void
AddNamedServices(ConfigurationParts& aParts, Notes& aNotes)
{
  std::unordered_set<std::string> listed;
  for (const auto& service : aParts.services) {
    listed.insert(service.name);
  }
  const auto add = [&](const std::string& aName, const std::string& aRoute) {
    if (aName.empty() || !listed.insert(aName).second) {
      return;
    }
    aParts.services.push_back({ aName, {}, true });
    aNotes.push_back("route " + aRoute + " names service " + aName +
                     ", which is not listed");
  };
  for (const auto& route : aParts.routes) {
    add(route.service, route.name);
    for (const auto& target : route.targets) {
      add(target.service, route.name);
    }
  }
}

void
MergeRepeatedAccounts(ConfigurationParts& aParts, Notes& aNotes)
{
  std::unordered_map<std::string, std::size_t> positions;
  std::vector<state::AccountSpec> accounts;
  for (auto& account : aParts.accounts) {
    const auto [known, isNew] =
      positions.emplace(account.name, accounts.size());
    if (isNew) {
      accounts.push_back(std::move(account));
      continue;
    }
    auto& digests = accounts[known->second].keyDigests;
    digests.insert(
      digests.end(), account.keyDigests.begin(), account.keyDigests.end());
    aNotes.push_back("account " + account.name +
                     " is listed twice; its first limits count");
  }
  aParts.accounts = std::move(accounts);
}

void
SortKeys(state::AccountSpec& aAccount)
{
  auto& digests = aAccount.keyDigests;
  std::ranges::sort(digests);
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
}

/// A key, and the position of an account that has it.
using HeldKey = std::pair<state::KeyDigest, std::size_t>;

/// @return all keys of all accounts, in their order.
std::vector<HeldKey>
ListKeys(const ConfigurationParts& aParts)
{
  std::vector<HeldKey> keys;
  for (std::size_t i = 0; i < aParts.accounts.size(); ++i) {
    for (const auto& digest : aParts.accounts[i].keyDigests) {
      keys.emplace_back(digest, i);
    }
  }
  std::ranges::sort(keys);
  return keys;
}

void
DropSharedKeys(ConfigurationParts& aParts, Notes& aNotes)
{
  std::ranges::for_each(aParts.accounts, SortKeys);
  const auto keys = ListKeys(aParts);
  std::set<std::size_t> sharing;
  for (std::size_t i = 1; i < keys.size(); ++i) {
    const auto& [digest, account] = keys[i];
    if (digest != keys[i - 1].first) {
      continue;
    }
    auto& own = aParts.accounts[account].keyDigests;
    own.erase(std::ranges::lower_bound(own, digest));
    if (sharing.insert(account).second) {
      aNotes.push_back("account " + aParts.accounts[account].name +
                       " has keys of other accounts, to which they belong");
    }
  }
}

} // namespace

std::vector<std::string>
MakeConsistent(ConfigurationParts& aParts)
{
  Notes notes;
  DropRepeatedServices(aParts, notes);
  DropRepeatedRoutes(aParts, notes);
  MakeRouteNamesUnique(aParts);
  AddNamedServices(aParts, notes);
  MergeRepeatedAccounts(aParts, notes);
  DropSharedKeys(aParts, notes);
  return notes;
}

} // namespace teaselhold::protocol
