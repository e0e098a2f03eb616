#include "Coordination/Prober.h"

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kDirectTime = std::chrono::milliseconds(500);
/// Longer than kFavourTime, so that the report of a helper that got no answer
/// arrives in time.
constexpr state::Duration kIndirectTime = std::chrono::milliseconds(1000);
constexpr state::Duration kFavourTime = std::chrono::milliseconds(600);
constexpr std::size_t kHelpers = 3;

} // namespace

void
Prober::Start(const Peer& aTarget, unsigned aCycles, const Step& aStep)
{
  if (watches_.contains(aTarget.node)) {
    return;
  }
  Watch watch;
  watch.target = aTarget;
  watch.number = nextNumber_++;
  watch.nextStage = aStep.now + kDirectTime;
  watch.cyclesLeft = aCycles;
  SendProbe(aTarget.controlAddress, watch.number, aStep);
  watches_.emplace(aTarget.node, std::move(watch));
}

void
Prober::Heard(const std::string& aNode, std::uint64_t aIncarnation)
{
  const auto watch = watches_.find(aNode);
  if (watch != watches_.end() &&
      aIncarnation >= watch->second.target.incarnation) {
    watches_.erase(watch);
  }
}

void
Prober::Clear()
{
  watches_.clear();
  favours_.clear();
}

void
Prober::SendProbe(const std::string& aAddress,
                  std::uint64_t aNumber,
                  const Step& aStep) const
{
  auto& probe = *AddMessage(aStep.commands, aAddress).mutable_probe();
  probe.set_number(aNumber);
  *probe.mutable_head() = aStep.head;
}

void
Prober::OnProbe(const wire::Envelope& aEnvelope,
                const state::EndpointRecord& aSelf,
                const Step& aStep) const
{
  auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                    .mutable_probe_answer();
  answer.set_number(aEnvelope.probe().number());
  answer.set_node(aSelf.node);
  answer.set_incarnation(aSelf.incarnation);
  *answer.mutable_head() = aStep.head;
}

void
Prober::OnProbeRequest(const wire::Envelope& aEnvelope, const Step& aStep)
{
  const auto& request = aEnvelope.probe_request();
  const auto number = nextNumber_++;
  favours_[number] = { aEnvelope.from_address(),
                       request.number(),
                       request.target_node(),
                       aStep.now + kFavourTime };
  SendProbe(request.target_address(), number, aStep);
}

void
Prober::OnProbeAnswer(const wire::Envelope& aEnvelope, const Step& aStep)
{
  const auto& answer = aEnvelope.probe_answer();
  const auto favour = favours_.find(answer.number());
  if (favour != favours_.end() && favour->second.target == answer.node() &&
      aEnvelope.from_node() == answer.node()) {
    auto& forwarded =
      *AddMessage(aStep.commands, favour->second.requesterAddress)
         .mutable_probe_answer();
    forwarded.set_number(favour->second.requesterNumber);
    forwarded.set_node(answer.node());
    forwarded.set_incarnation(answer.incarnation());
    *forwarded.mutable_head() = aStep.head;
    favours_.erase(favour);
    return;
  }
  const auto watch = watches_.find(answer.node());
  if (watch == watches_.end() || watch->second.number != answer.number()) {
    return;
  }
  if (answer.unreachable()) {
    watch->second.isConfirmed = true;
  } else {
    Heard(answer.node(), answer.incarnation());
  }
}

std::vector<Prober::Silent>
Prober::Tick(const std::vector<Peer>& aHelpers,
             RandomSource& aRandom,
             const Step& aStep)
{
  EndFavours(aStep);
  std::vector<Silent> silent;
  for (auto& [node, watch] : watches_) {
    if (aStep.now < watch.nextStage) {
      continue;
    }
    if (!watch.isIndirect) {
      watch.isIndirect = true;
      watch.nextStage = aStep.now + kIndirectTime;
      AskHelpers(watch, aHelpers, aRandom, aStep.commands);
      continue;
    }
    if (watch.cyclesLeft > 0) {
      --watch.cyclesLeft;
    }
    if (watch.cyclesLeft == 0) {
      silent.push_back({ watch.target, watch.isConfirmed });
    }
    watch.isIndirect = false;
    watch.nextStage = aStep.now + kDirectTime;
    SendProbe(watch.target.controlAddress, watch.number, aStep);
  }
  return silent;
}

void
Prober::AskHelpers(const Watch& aWatch,
                   const std::vector<Peer>& aHelpers,
                   RandomSource& aRandom,
                   Commands& aCommands) const
{
  std::vector<Peer> helpers;
  for (const auto& helper : aHelpers) {
    if (helper.node != aWatch.target.node && !watches_.contains(helper.node)) {
      helpers.push_back(helper);
    }
  }
  for (const auto& helper : aRandom.Sample(std::move(helpers), kHelpers)) {
    auto& request =
      *AddMessage(aCommands, helper.controlAddress).mutable_probe_request();
    request.set_number(aWatch.number);
    request.set_target_node(aWatch.target.node);
    request.set_target_address(aWatch.target.controlAddress);
  }
}

void
Prober::EndFavours(const Step& aStep)
{
  for (auto favour = favours_.begin(); favour != favours_.end();) {
    if (aStep.now < favour->second.deadline) {
      ++favour;
      continue;
    }
    auto& answer = *AddMessage(aStep.commands, favour->second.requesterAddress)
                      .mutable_probe_answer();
    answer.set_number(favour->second.requesterNumber);
    answer.set_node(favour->second.target);
    answer.set_unreachable(true);
    *answer.mutable_head() = aStep.head;
    favour = favours_.erase(favour);
  }
}

} // namespace teaselhold::coordination
