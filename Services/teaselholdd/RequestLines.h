#pragma once

#include "Coordination/Admission.h"
#include "Protocol/CallHeaders.h"
#include "Services/teaselholdd/Exchange.h"

#include <string>
#include <string_view>

namespace teaselhold::daemon {

/// What is known of a call at the node that its caller reached when it ends.
struct CallEnd
{
  std::string_view id;
  std::string_view route = "none";
  std::string_view service;
  /// The last node asked.
  std::string_view node;
  unsigned attempts = 0;
  unsigned placements = 0;
  std::uint64_t generation = 0;
};

/// What the node beside an upstream knew of a request when it came.
struct DeliveryStart
{
  /// The caller's identity of the request, by which its lines are joined.
  std::string id;
  /// The node that sent it.
  std::string from;
  std::string service;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  /// The upstream beside this node and the start of its process.
  std::string upstream;
  std::uint64_t born = 0;
  coordination::AdmissionInputs inputs;
  /// How long the request may wait, if its sender says so.
  std::optional<state::Duration> maxWait;
  /// Time left until its deadline.
  state::Duration left{ 0 };
};

/// @return the caller's identity of a request, or none if it carries none.
std::string_view
ReadId(const Request& aRequest, const protocol::CallHeaders& aNames);

/// The request was refused or failed, or its outcome is unknown.
bool
IsFailure(const coordination::Outcome& aOutcome);

/// The upstream had no room for the request.
bool
IsRefusedForLoad(const coordination::Outcome& aOutcome);

/// Writes the fields of an outcome: outcome, reason and status.
std::string
FormatOutcome(const coordination::Outcome& aOutcome);

/// Writes the line of a call.
std::string
FormatCallEnd(const CallEnd& aEnd,
              const coordination::Outcome& aOutcome,
              state::Duration aTime);

/// Logs a call that the end of the drain broke off.
void
LogCallBrokenOff(const CallEnd& aEnd, state::Duration aTime);

/// Logs a call that ended, unless it is an ordinary one beyond the sample.
void
LogCallEnd(const CallEnd& aEnd,
           const coordination::Outcome& aOutcome,
           state::Duration aTime);

/// Writes the line of a request beside the upstream.
std::string
FormatDeliveryEnd(const DeliveryStart& aStart,
                  const coordination::Outcome& aOutcome,
                  state::Duration aTime);

/// Logs a request beside the upstream that the end of the drain broke off.
void
LogDeliveryBrokenOff(const DeliveryStart& aStart, state::Duration aTime);

/// Logs a request that ended beside the upstream, unless it is an ordinary one,
/// or one that was refused for load, beyond its sample. An answer after the
/// deadline counts as a failure.
void
LogDeliveryEnd(const DeliveryStart& aStart,
               const coordination::Outcome& aOutcome,
               state::Duration aTime);

} // namespace teaselhold::daemon
