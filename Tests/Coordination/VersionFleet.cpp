#include "Tests/Coordination/VersionFleet.h"

#include "admin.pb.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace teaselhold::tests {

using namespace coordination;
using namespace std::chrono_literals;

VersionFleet::VersionFleet(std::uint64_t aSeed,
                           const std::vector<std::string>& aDataCentres,
                           unsigned aNodesEach)
  : session(aSeed)
{
  for (const auto& dataCentre : aDataCentres) {
    for (unsigned i = 0; i < aNodesEach; ++i) {
      session.Add(dataCentre + std::to_string(i),
                  i % 2 == 0 ? "gateway" : "lounges",
                  dataCentre);
    }
  }
  session.SetSeeds({ aDataCentres.front() + "0", aDataCentres.back() + "1" });
  WriteToStore("first");
}

void
VersionFleet::Settle()
{
  session.StartAll();
  const auto settled = session.RunUntil(
    [this] { return AllActive(1) && !FindReader().empty(); }, 30s);
  INFO(session.Transcript());
  REQUIRE(settled);
  // Allows time for both reader slots to be taken.
  session.Run(2s);
}

std::string
VersionFleet::Text(const std::string& aMark)
{
  return "# Marked " + aMark +
         "\n[service gateway]\nentry = yes\ndepends = lounges\n\n"
         "[service lounges]\n\n[service only-" +
         aMark + "]\n";
}

void
VersionFleet::Apply(const std::string& aNode,
                    const std::string& aMark,
                    state::Generation aBase,
                    state::Duration aTime)
{
  const auto id = marks_.size();
  marks_.push_back(aMark);
  session.Post(
    aNode,
    ApplyRequested{ id, Text(aMark), aBase, aMark, session.Now() + aTime });
}

state::Generation
VersionFleet::Active(const std::string& aNode)
{
  const auto& core = session.At(aNode).core;
  const auto active = core == nullptr ? nullptr : core->Distribution().Active();
  return active == nullptr ? 0 : active->GetGeneration();
}

bool
VersionFleet::IsRunning(const std::string& aNode)
{
  const auto& node = session.At(aNode);
  return node.core != nullptr && !node.isPaused;
}

bool
VersionFleet::AllActive(state::Generation aGeneration)
{
  return std::ranges::all_of(session.Names(), [&](const auto& aNode) {
    return !IsRunning(aNode) || Active(aNode) == aGeneration;
  });
}

bool
VersionFleet::IsConverged()
{
  return AllActive(StoreGeneration());
}

state::Generation
VersionFleet::StoreGeneration()
{
  wire::StoredConfiguration stored;
  stored.ParseFromString(
    session.store.Entry(protocol::kConfigurationKey).value);
  return stored.generation();
}

std::string
VersionFleet::FindNode(bool aIsRelay, const std::string& aExcept)
{
  for (const auto& name : session.Names()) {
    const auto& core = session.At(name).core;
    if (core != nullptr && core->Peers().isRelay == aIsRelay &&
        !core->Reader().IsReader() && name != aExcept) {
      return name;
    }
  }
  return "";
}

std::string
VersionFleet::FindReader()
{
  for (const auto& name : session.Names()) {
    if (IsRunning(name) && session.At(name).core->Reader().IsReader()) {
      return name;
    }
  }
  return "";
}

std::string
VersionFleet::FindOtherRelay(const std::string& aLeaf)
{
  const auto& leaf = session.At(aLeaf);
  for (const auto& name : session.Relays()) {
    if (session.At(name).options.identity.dataCentre ==
          leaf.options.identity.dataCentre &&
        name != leaf.core->Peers().relay->node) {
      return name;
    }
  }
  return "";
}

void
VersionFleet::CheckTexts(std::vector<std::string>& aViolations)
{
  std::map<state::Generation, std::set<std::string>> accepted;
  for (const auto& value : session.store.history[protocol::kConfigurationKey]) {
    wire::StoredConfiguration stored;
    stored.ParseFromString(value);
    accepted[stored.generation()].insert(stored.text());
  }
  for (const auto& name : session.Names()) {
    const auto& core = session.At(name).core;
    const auto active =
      core == nullptr ? nullptr : core->Distribution().Active();
    if (active != nullptr &&
        !accepted[active->GetGeneration()].contains(active->Text())) {
      aViolations.push_back(name + " runs a text that was never accepted");
    }
  }
}

void
VersionFleet::CheckOutcomes(std::vector<std::string>& aViolations)
{
  std::set<std::string> written;
  for (const auto& value : session.store.history[protocol::kConfigurationKey]) {
    wire::StoredConfiguration stored;
    stored.ParseFromString(value);
    written.insert(stored.apply_id());
  }
  std::set<std::uint64_t> finished;
  for (const auto& finish : session.finishedApplies) {
    const auto& mark = marks_.at(finish.id);
    const bool isWritten = written.contains(mark);
    const bool isAccepted = finish.outcome == ApplyOutcome::Accepted;
    const bool isUncertain = finish.outcome == ApplyOutcome::Unknown;
    if (!isUncertain && isAccepted != isWritten) {
      aViolations.push_back("apply of " + mark +
                            " has an outcome that does not match the store");
    }
    if (!finished.insert(finish.id).second) {
      aViolations.push_back("apply of " + mark + " has more than one outcome");
    }
  }
}

std::vector<std::string>
VersionFleet::Violations()
{
  std::vector<std::string> violations;
  for (const auto& node : session.reversions) {
    violations.push_back(node + " went back to an older generation");
  }
  CheckTexts(violations);
  CheckOutcomes(violations);
  return violations;
}

void
VersionFleet::LogVersions()
{
  std::map<state::Generation, std::string> byGeneration;
  for (const auto& name : session.Names()) {
    byGeneration[Active(name)] += " " + name;
  }
  std::string line = "in force";
  for (const auto& [generation, names] : byGeneration) {
    line += " " + std::to_string(generation) + ":" + names;
  }
  session.Note(line);
}

} // namespace teaselhold::tests
