// Comparison and repair of endpoint tables.
#include "Coordination/EndpointCodec.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/TableComparison.h"

namespace teaselhold::coordination {

namespace {

constexpr unsigned kComparisonsToComplete = 3;
/// A record that changed more recently than this may be newer than the relay's
/// data, so it is not erased.
constexpr state::Duration kMinAgeToErase = std::chrono::seconds(5);

} // namespace

void
EndpointDistribution::Pull(const std::string& aAddress,
                           Commands& aCommands) const
{
  auto& pull = *AddMessage(aCommands, aAddress).mutable_endpoint_pull();
  for (const auto& service : reach_) {
    auto& known = *pull.add_known();
    known.set_service(service);
    known.set_digest(table_.Digest(service));
  }
}

void
EndpointDistribution::StartComparison(const std::string& aAddress,
                                      const StepContext& aStep) const
{
  auto& exchange =
    *AddMessage(aStep.commands, aAddress).mutable_relay_exchange();
  *exchange.mutable_head() = aStep.head;
  exchange.set_table_digest(table_.TableDigest());
}

void
EndpointDistribution::OnPull(const wire::Envelope& aEnvelope,
                             const StepContext& aStep)
{
  const bool isFromLeaf = feed_.Contains(aEnvelope.from_node());
  if (!self_.isRelay ||
      (isFromLeaf && aEnvelope.endpoint_pull().buckets_size() > 0)) {
    return;
  }
  auto& budget = isFromLeaf ? leafRepairBudget_ : relayRepairBudget_;
  wire::EndpointData data;
  if (isFromLeaf) {
    FillLostRelays(lostRelays_, *data.mutable_lost());
  }
  for (const auto& service :
       DifferingServices(table_, aEnvelope.endpoint_pull())) {
    wire::EndpointData part;
    AddServiceData(table_, service, part);
    if (!budget.TryTake(static_cast<double>(part.ByteSizeLong()), aStep.now)) {
      // The next comparison fetches the remaining services.
      break;
    }
    data.MergeFrom(part);
  }
  *AddMessage(aStep.commands, aEnvelope.from_address())
     .mutable_endpoint_data() = std::move(data);
}

void
EndpointDistribution::OnData(const wire::Envelope& aEnvelope,
                             const StepContext& aStep)
{
  const auto& data = aEnvelope.endpoint_data();
  if (!self_.isRelay && aEnvelope.from_node() != self_.relay) {
    return;
  }
  for (const auto& endpoint : data.endpoints()) {
    MergeWireRecord(endpoint, Source::Repair, aStep.now);
  }
  if (self_.isRelay) {
    CountComparison(aStep);
    SendNewerRecords(aEnvelope, aStep.commands);
    return;
  }
  EraseAbsent(data, aStep.now);
  if (data.has_lost()) {
    SetLostRelays({ data.lost().nodes().begin(), data.lost().nodes().end() });
  }
}

void
EndpointDistribution::SendNewerRecords(const wire::Envelope& aEnvelope,
                                       Commands& aCommands) const
{
  const auto& data = aEnvelope.endpoint_data();
  std::set<std::string> same;
  for (const auto& endpoint : data.endpoints()) {
    const auto* record = table_.Find(endpoint.node());
    if (record != nullptr && *record == FromWire(endpoint)) {
      same.insert(endpoint.node());
    }
  }
  wire::EndpointDelta newer;
  for (const auto& digest : data.digests()) {
    if (table_.Digest(digest.service()) == digest.digest()) {
      continue;
    }
    for (const auto* record : table_.OfService(digest.service())) {
      if (!same.contains(record->node)) {
        *newer.add_endpoints() = ToWire(*record);
      }
    }
  }
  if (newer.endpoints_size() > 0) {
    *AddMessage(aCommands, aEnvelope.from_address()).mutable_endpoint_delta() =
      std::move(newer);
  }
}

void
EndpointDistribution::EraseAbsent(const wire::EndpointData& aData,
                                  state::Instant aNow)
{
  std::set<std::string> present;
  for (const auto& endpoint : aData.endpoints()) {
    present.insert(endpoint.node());
  }
  for (const auto& digest : aData.digests()) {
    for (const auto* record : table_.OfService(digest.service())) {
      const auto node = record->node;
      if (node == self_.node || present.contains(node) ||
          aNow - changedAt_[node] < kMinAgeToErase) {
        continue;
      }
      table_.Erase(node);
      changedAt_.erase(node);
      reachableChanged_ = true;
    }
  }
}

void
EndpointDistribution::OnExchange(const wire::Envelope& aEnvelope,
                                 const StepContext& aStep)
{
  const auto& exchange = aEnvelope.relay_exchange();
  if (!self_.isRelay) {
    return;
  }
  const bool isEqual = exchange.table_digest() == table_.TableDigest();
  if (!exchange.is_answer()) {
    auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                      .mutable_relay_exchange();
    *answer.mutable_head() = aStep.head;
    answer.set_is_answer(true);
    answer.set_table_digest(table_.TableDigest());
    if (!isEqual) {
      for (const auto digest : BucketDigests(table_)) {
        answer.add_buckets(digest);
      }
    }
    return;
  }
  if (isEqual) {
    comparisons_ = kComparisonsToComplete;
    CountComparison(aStep);
  } else if (exchange.buckets_size() == static_cast<int>(kTableBuckets)) {
    *AddMessage(aStep.commands, aEnvelope.from_address())
       .mutable_endpoint_pull() = MakeBucketPull(table_, exchange);
  }
}

void
EndpointDistribution::CountComparison(const StepContext& aStep)
{
  ++comparisons_;
  if (!isComplete_ && comparisons_ >= kComparisonsToComplete) {
    isComplete_ = true;
    AddLog(aStep.commands,
           LogLevel::Info,
           "endpoints",
           "Table complete. records=" + std::to_string(table_.Size()));
  }
}

} // namespace teaselhold::coordination
