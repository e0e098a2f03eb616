#include "Coordination/Admission.h"

namespace teaselhold::coordination {

Admission::Admission(std::uint32_t aSlots)
  : slots_(aSlots)
{
}

AdmissionDecision
Admission::Decide(const AdmissionRequest& aRequest, state::Instant aNow)
{
  if (state_ == state::EndpointState::Starting) {
    return NotRun{ NotRunReason::Starting };
  }
  if (state_ != state::EndpointState::Ready) {
    return NotRun{ NotRunReason::Draining };
  }
  if (aNow >= aRequest.deadline) {
    return NotRun{ NotRunReason::DeadlineExceeded };
  }
  if (running_.size() >= slots_) {
    return NotRun{ NotRunReason::Full };
  }
  running_.emplace(aRequest.id, aRequest);
  return Admit{};
}

std::vector<AdmissionRelease>
Admission::Finish(std::uint64_t aId, state::Instant /*aNow*/)
{
  running_.erase(aId);
  return {};
}

std::vector<AdmissionRelease>
Admission::Expire(state::Instant /*aNow*/)
{
  return {};
}

void
Admission::SetState(state::EndpointState aState, state::Instant /*aNow*/)
{
  state_ = aState;
}

} // namespace teaselhold::coordination
