#pragma once

#include "Coordination/CallTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// A request that asks to be delivered to the upstream beside this node.
struct AdmissionRequest
{
  /// Unique within this process.
  std::uint64_t id = 0;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  std::string tenant;
  /// 0 means that the tenant has no limit of its own.
  std::uint32_t tenantLimit = 0;
  state::Instant deadline = state::Instant::max();
};

/// Deliver the request now.
struct Admit
{};

/// The request waits; a later AdmissionRelease decides it.
struct Wait
{};

using AdmissionDecision = std::variant<Admit, Wait, NotRun>;

/// The late decision on a request that waited.
struct AdmissionRelease
{
  std::uint64_t id;
  /// Empty means that the request is delivered now.
  std::optional<NotRunReason> refused;
};

/// Decides beside the upstream, before delivery, so that a refusal is certain.
class Admission
{
public:
  explicit Admission(std::uint32_t aSlots);

  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           state::Instant aNow);

  /// A delivered request ended. Returns decisions on waiting requests.
  std::vector<AdmissionRelease> Finish(std::uint64_t aId, state::Instant aNow);

  /// Returns decisions on requests that waited for too long.
  std::vector<AdmissionRelease> Expire(state::Instant aNow);

  /// Only a ready upstream gets new work.
  void SetState(state::EndpointState aState, state::Instant aNow);

  std::size_t InFlight() const { return running_.size(); }

private:
  std::uint32_t slots_;
  state::EndpointState state_ = state::EndpointState::Starting;
  std::map<std::uint64_t, AdmissionRequest> running_;
};

} // namespace teaselhold::coordination
