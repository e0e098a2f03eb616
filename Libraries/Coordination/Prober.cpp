#include "Coordination/Prober.h"

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kDirectTimeout = std::chrono::milliseconds(500);
/// Longer than kProxyProbeTimeout, so that the report of a helper that got no
/// answer arrives in time.
constexpr state::Duration kIndirectTimeout = std::chrono::milliseconds(1000);
constexpr state::Duration kProxyProbeTimeout = std::chrono::milliseconds(600);
constexpr std::size_t kMaxHelpers = 3;

} // namespace

void
Prober::Start(const Peer& aTarget, unsigned aCycles, const StepContext& aStep)
{
  if (activeProbes_.contains(aTarget.node)) {
    return;
  }
  ActiveProbe activeProbe;
  activeProbe.target = aTarget;
  activeProbe.number = nextNumber_++;
  activeProbe.nextStage = aStep.now + kDirectTimeout;
  activeProbe.cyclesLeft = aCycles;
  SendProbe(aTarget.controlAddress, activeProbe.number, aStep);
  activeProbes_.emplace(aTarget.node, std::move(activeProbe));
}

void
Prober::MarkAlive(const std::string& aNode, std::uint64_t aIncarnation)
{
  const auto activeProbe = activeProbes_.find(aNode);
  if (activeProbe != activeProbes_.end() &&
      aIncarnation >= activeProbe->second.target.incarnation) {
    activeProbes_.erase(activeProbe);
  }
}

void
Prober::Clear()
{
  activeProbes_.clear();
  proxyProbes_.clear();
}

void
Prober::SendProbe(const std::string& aAddress,
                  std::uint64_t aNumber,
                  const StepContext& aStep) const
{
  auto& probe = *AddMessage(aStep.commands, aAddress).mutable_probe();
  probe.set_number(aNumber);
  *probe.mutable_head() = aStep.head;
}

void
Prober::OnProbe(const wire::Envelope& aEnvelope,
                const state::EndpointRecord& aSelf,
                const StepContext& aStep) const
{
  auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                    .mutable_probe_answer();
  answer.set_number(aEnvelope.probe().number());
  answer.set_node(aSelf.node);
  answer.set_incarnation(aSelf.incarnation);
  *answer.mutable_head() = aStep.head;
}

void
Prober::OnProbeRequest(const wire::Envelope& aEnvelope,
                       const StepContext& aStep)
{
  const auto& request = aEnvelope.probe_request();
  const auto number = nextNumber_++;
  proxyProbes_[number] = { aEnvelope.from_address(),
                           request.number(),
                           request.target_node(),
                           aStep.now + kProxyProbeTimeout };
  SendProbe(request.target_address(), number, aStep);
}

void
Prober::OnProbeAnswer(const wire::Envelope& aEnvelope, const StepContext& aStep)
{
  const auto& answer = aEnvelope.probe_answer();
  const auto proxyProbe = proxyProbes_.find(answer.number());
  if (proxyProbe != proxyProbes_.end() &&
      proxyProbe->second.target == answer.node() &&
      aEnvelope.from_node() == answer.node()) {
    auto& forwarded =
      *AddMessage(aStep.commands, proxyProbe->second.requesterAddress)
         .mutable_probe_answer();
    forwarded.set_number(proxyProbe->second.requesterNumber);
    forwarded.set_node(answer.node());
    forwarded.set_incarnation(answer.incarnation());
    *forwarded.mutable_head() = aStep.head;
    proxyProbes_.erase(proxyProbe);
    return;
  }
  const auto activeProbe = activeProbes_.find(answer.node());
  if (activeProbe == activeProbes_.end() ||
      activeProbe->second.number != answer.number()) {
    return;
  }
  if (answer.unreachable()) {
    activeProbe->second.isConfirmed = true;
  } else {
    MarkAlive(answer.node(), answer.incarnation());
  }
}

std::vector<Prober::Silent>
Prober::Tick(const std::vector<Peer>& aHelpers,
             RandomSource& aRandom,
             const StepContext& aStep)
{
  ExpireProxyProbes(aStep);
  std::vector<Silent> silent;
  for (auto& [node, activeProbe] : activeProbes_) {
    if (aStep.now < activeProbe.nextStage) {
      continue;
    }
    if (!activeProbe.isIndirect) {
      activeProbe.isIndirect = true;
      activeProbe.nextStage = aStep.now + kIndirectTimeout;
      RequestIndirectProbes(activeProbe, aHelpers, aRandom, aStep.commands);
      continue;
    }
    if (activeProbe.cyclesLeft > 0) {
      --activeProbe.cyclesLeft;
    }
    if (activeProbe.cyclesLeft == 0) {
      silent.push_back({ activeProbe.target, activeProbe.isConfirmed });
    }
    activeProbe.isIndirect = false;
    activeProbe.nextStage = aStep.now + kDirectTimeout;
    SendProbe(activeProbe.target.controlAddress, activeProbe.number, aStep);
  }
  return silent;
}

void
Prober::RequestIndirectProbes(const ActiveProbe& aProbe,
                              const std::vector<Peer>& aHelpers,
                              RandomSource& aRandom,
                              Commands& aCommands) const
{
  std::vector<Peer> helpers;
  for (const auto& helper : aHelpers) {
    if (helper.node != aProbe.target.node &&
        !activeProbes_.contains(helper.node)) {
      helpers.push_back(helper);
    }
  }
  for (const auto& helper : aRandom.Sample(std::move(helpers), kMaxHelpers)) {
    auto& request =
      *AddMessage(aCommands, helper.controlAddress).mutable_probe_request();
    request.set_number(aProbe.number);
    request.set_target_node(aProbe.target.node);
    request.set_target_address(aProbe.target.controlAddress);
  }
}

void
Prober::ExpireProxyProbes(const StepContext& aStep)
{
  for (auto proxyProbe = proxyProbes_.begin();
       proxyProbe != proxyProbes_.end();) {
    if (aStep.now < proxyProbe->second.deadline) {
      ++proxyProbe;
      continue;
    }
    auto& answer =
      *AddMessage(aStep.commands, proxyProbe->second.requesterAddress)
         .mutable_probe_answer();
    answer.set_number(proxyProbe->second.requesterNumber);
    answer.set_node(proxyProbe->second.target);
    answer.set_unreachable(true);
    *answer.mutable_head() = aStep.head;
    proxyProbe = proxyProbes_.erase(proxyProbe);
  }
}

} // namespace teaselhold::coordination
