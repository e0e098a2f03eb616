#include "Services/teaselholdd/RequestLines.h"

#include "Coordination/RetryPolicy.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/Logs.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;

constexpr unsigned kFirstServerError = 500;
/// The outcome of a request whose end this process does not see.
constexpr std::string_view kBrokenOff =
  "outcome=unknown reason=broken-off status=0";

struct OutcomeTexts
{
  std::string_view outcome;
  std::string_view reason;
  unsigned status = 0;
};

struct OutcomeNamer
{
  OutcomeTexts operator()(const Answered& aAnswered) const
  {
    return { "answered", "none", aAnswered.status };
  }
  OutcomeTexts operator()(const NotRun& aNotRun) const
  {
    return { "not-run",
             state::FindEnumName(kNotRunReasonNames, aNotRun.reason) };
  }
  OutcomeTexts operator()(const Unknown& aUnknown) const
  {
    return { "unknown",
             state::FindEnumName(kUnknownReasonNames, aUnknown.reason) };
  }
};

std::int64_t
ToMilliseconds(state::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

std::string
FormatCall(const CallEnd& aEnd,
           std::string_view aOutcome,
           state::Duration aTime)
{
  return fmt::format("id={} route={} service={} node={} {} "
                     "attempts={} placements={} generation={} milliseconds={}",
                     aEnd.id,
                     aEnd.route,
                     aEnd.service,
                     aEnd.node,
                     aOutcome,
                     aEnd.attempts,
                     aEnd.placements,
                     aEnd.generation,
                     ToMilliseconds(aTime));
}

std::string
FormatDelivery(const DeliveryStart& aStart,
               std::string_view aOutcome,
               state::Duration aTime)
{
  const auto& inputs = aStart.inputs;
  return fmt::format(
    "id={} from={} service={} class={} upstream={} born={} "
    "{} state={} state_milliseconds={} running={} waiting={} slots={} "
    "predicted_wait={} max_wait={} left={} milliseconds={}",
    aStart.id,
    aStart.from,
    aStart.service,
    state::FindEnumName(state::kRequestClassNames, aStart.requestClass),
    aStart.upstream,
    aStart.born,
    aOutcome,
    state::FindEnumName(state::kEndpointStateNames, inputs.state),
    ToMilliseconds(inputs.stateAge),
    inputs.running,
    inputs.waiting,
    inputs.slots,
    ToMilliseconds(inputs.predictedWait),
    aStart.maxWait ? std::to_string(ToMilliseconds(*aStart.maxWait)) : "none",
    ToMilliseconds(aStart.left),
    ToMilliseconds(aTime));
}

/// Tells whether a line of a sample is written. Asked before the line is
/// formatted, which costs more than the decision.
bool
IsWritten(Sampled aKind, spdlog::level::level_enum aLevel)
{
  return spdlog::should_log(aLevel) && AdmitSampledLine(aKind);
}

} // namespace

std::string_view
ReadId(const Request& aRequest, const protocol::CallHeaders& aNames)
{
  return aNames.requestId.empty() ? std::string_view()
                                  : ReadHeader(aRequest, aNames.requestId);
}

bool
IsFailure(const Outcome& aOutcome)
{
  const auto* answered = std::get_if<Answered>(&aOutcome);
  return answered == nullptr || answered->status >= kFirstServerError;
}

bool
IsRefusedForLoad(const Outcome& aOutcome)
{
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  return notRun != nullptr && RetryPolicy::IsLoadRefusal(notRun->reason);
}

std::string
FormatOutcome(const Outcome& aOutcome)
{
  const auto texts = std::visit(OutcomeNamer{}, aOutcome);
  return fmt::format("outcome={} reason={} status={}",
                     texts.outcome,
                     texts.reason,
                     texts.status);
}

std::string
FormatCallEnd(const CallEnd& aEnd,
              const Outcome& aOutcome,
              state::Duration aTime)
{
  return "[call] Ended. " + FormatCall(aEnd, FormatOutcome(aOutcome), aTime);
}

void
LogCallBrokenOff(const CallEnd& aEnd, state::Duration aTime)
{
  spdlog::warn("[call] Broken off by the end of the drain. {}",
               FormatCall(aEnd, kBrokenOff, aTime));
}

void
LogCallEnd(const CallEnd& aEnd, const Outcome& aOutcome, state::Duration aTime)
{
  const bool isFailure = IsFailure(aOutcome);
  if (isFailure || IsWritten(Sampled::Call, spdlog::level::info)) {
    spdlog::log(isFailure ? spdlog::level::warn : spdlog::level::info,
                "{}",
                FormatCallEnd(aEnd, aOutcome, aTime));
  }
}

std::string
FormatDeliveryEnd(const DeliveryStart& aStart,
                  const Outcome& aOutcome,
                  state::Duration aTime)
{
  return "[delivery] Ended. " +
         FormatDelivery(aStart, FormatOutcome(aOutcome), aTime);
}

void
LogDeliveryBrokenOff(const DeliveryStart& aStart, state::Duration aTime)
{
  spdlog::warn("[delivery] Broken off by the end of the drain. {}",
               FormatDelivery(aStart, kBrokenOff, aTime));
}

void
LogDeliveryEnd(const DeliveryStart& aStart,
               const Outcome& aOutcome,
               state::Duration aTime)
{
  const bool isFailure = IsFailure(aOutcome) || aTime > aStart.left;
  const auto level = isFailure ? spdlog::level::warn : spdlog::level::info;
  const auto sampled = isFailure ? Sampled::Refusal : Sampled::Delivery;
  const bool isSampled = !isFailure || IsRefusedForLoad(aOutcome);
  if (!isSampled || IsWritten(sampled, level)) {
    spdlog::log(level, "{}", FormatDeliveryEnd(aStart, aOutcome, aTime));
  }
}

} // namespace teaselhold::daemon
