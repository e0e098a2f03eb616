#include "Coordination/ApplyCoordinator.h"

#include "Protocol/ConfigurationText.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxSessions = 16;
constexpr int kMaxRecentApplies = 16;
/// Maximum number of writes per apply. A second write is needed only if an
/// answer was lost, or if the value was written back in between and its
/// revision changed although its generation did not.
constexpr std::size_t kMaxWrites = 8;
/// Time after its deadline at which a finished session with an open call is
/// dropped. The store's client answers every call, so this is only a bound on
/// memory.
constexpr state::Duration kMaxLateAnswerTime = std::chrono::seconds(60);

constexpr const char* kUnknownMessage =
  "the store did not answer in time, so the change may still take effect; "
  "compare with \"teaselctl get\" or apply again with the same apply id";

} // namespace

ApplyCoordinator::ApplyCoordinator(std::uint64_t aRandomSeed,
                                   StoreCallNumbers& aNumbers,
                                   ConfigurationDistribution& aDistribution)
  : random_(aRandomSeed)
  , numbers_(aNumbers)
  , distribution_(aDistribution)
{
}

std::size_t
ApplyCoordinator::InProgress() const
{
  return static_cast<std::size_t>(
    std::ranges::count(sessions_, false, &Session::isFinished));
}

void
ApplyCoordinator::OnApply(const ApplyRequested& aRequest,
                          const PeerDirectory& aPeers,
                          state::Instant aNow,
                          Commands& aCommands)
{
  Session session;
  session.request = aRequest;
  const auto held = distribution_.Held().generation();
  const auto compiled = protocol::CompileSubmission(aRequest.text, held + 1);
  if (!compiled) {
    Finish(session,
           ApplyOutcome::Refused,
           held,
           protocol::FormatErrors("text", compiled.error()),
           aCommands);
    return;
  }
  if (InProgress() >= kMaxSessions) {
    Finish(session,
           ApplyOutcome::NotApplied,
           held,
           "this node already has the maximum of " +
             std::to_string(kMaxSessions) + " changes in progress",
           aCommands);
    return;
  }
  session.nextAttempt = aNow;
  sessions_.push_back(std::move(session));
  Tick(aPeers, aNow, aCommands);
}

void
ApplyCoordinator::Tick(const PeerDirectory& /*aPeers*/,
                       state::Instant aNow,
                       Commands& aCommands)
{
  for (auto& session : sessions_) {
    if (session.isFinished) {
      continue;
    }
    if (aNow >= session.request.deadline) {
      FinishAtDeadline(session, aCommands);
    } else if (session.stage == Stage::Waiting && aNow >= session.nextAttempt) {
      if (distribution_.IsSettled()) {
        Read(session, aCommands);
      } else {
        // An unsettled node might reuse a generation that the fleet already
        // uses for another text.
        session.lastError = "this node does not know the version in force yet";
      }
    }
  }
  RemoveFinished(aNow);
}

void
ApplyCoordinator::RemoveFinished(state::Instant aNow)
{
  std::erase_if(sessions_, [&](const Session& aSession) {
    return aSession.isFinished &&
           (aSession.call == 0 ||
            aNow - aSession.request.deadline > kMaxLateAnswerTime);
  });
}

bool
ApplyCoordinator::OnStoreAnswer(const StoreAnswered& aAnswer,
                                const PeerDirectory& aPeers,
                                state::Instant aNow,
                                Commands& aCommands)
{
  const auto session =
    std::ranges::find(sessions_, aAnswer.call, &Session::call);
  if (aAnswer.call == 0 || session == sessions_.end()) {
    return false;
  }
  const auto stage = std::exchange(session->stage, Stage::Waiting);
  session->call = 0;
  if (stage == Stage::Reading) {
    OnReadAnswer(*session, aAnswer.result, aPeers, aNow, aCommands);
  } else {
    OnWriteAnswer(*session, aAnswer.result, aPeers, aNow, aCommands);
  }
  RemoveFinished(aNow);
  return true;
}

void
ApplyCoordinator::Read(Session& aSession, Commands& aCommands)
{
  aSession.stage = Stage::Reading;
  aSession.call = numbers_.Next();
  aCommands.push_back(
    CallStore{ aSession.call, StoreGet{ protocol::kConfigurationKey } });
}

void
ApplyCoordinator::OnReadAnswer(Session& aSession,
                               const StoreResult& aResult,
                               const PeerDirectory& aPeers,
                               state::Instant aNow,
                               Commands& aCommands)
{
  if (const auto* entry = std::get_if<protocol::StoreEntry>(&aResult)) {
    OnEntry(aSession, *entry, aPeers, aNow, aCommands);
  } else if (const auto* error = std::get_if<protocol::StoreError>(&aResult)) {
    Retry(aSession, error->message, aNow);
  } else {
    Retry(aSession,
          "the store answered the read with an unexpected type of result",
          aNow);
  }
}

void
ApplyCoordinator::OnWriteAnswer(Session& aSession,
                                const StoreResult& aResult,
                                const PeerDirectory& aPeers,
                                state::Instant aNow,
                                Commands& aCommands)
{
  if (const auto* swap = std::get_if<protocol::SwapResult>(&aResult)) {
    if (!swap->swapped) {
      OnEntry(aSession, swap->current, aPeers, aNow, aCommands);
      return;
    }
    // Distributes the version from this node at once, without waiting for a
    // watch of the store to report it.
    distribution_.OnStored(aSession.written, aPeers, aNow, aCommands);
    Finish(aSession,
           ApplyOutcome::Accepted,
           aSession.written.generation(),
           "",
           aCommands);
    return;
  }
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  const bool isCertainlyNotWritten =
    error != nullptr && error->code != protocol::StoreErrorCode::Unknown;
  if (!isCertainlyNotWritten) {
    aSession.isWriteUncertain = true;
    aSession.uncertainRevision = aSession.expectedRevision;
  } else if (error->code == protocol::StoreErrorCode::TooLarge) {
    Finish(aSession,
           ApplyOutcome::Refused,
           distribution_.Held().generation(),
           "the text exceeds the size limit of the store",
           aCommands);
    return;
  }
  Retry(aSession,
        error != nullptr
          ? error->message
          : "the store answered the write with an unexpected type of result",
        aNow);
}

void
ApplyCoordinator::OnEntry(Session& aSession,
                          const protocol::StoreEntry& aEntry,
                          const PeerDirectory& aPeers,
                          state::Instant aNow,
                          Commands& aCommands)
{
  CurrentState current;
  current.revision = aEntry.revision;
  if (aEntry.revision != 0 && !current.value.ParseFromString(aEntry.value)) {
    distribution_.RaiseAlarm("The configuration in the store cannot be parsed; "
                             "the version in force is kept.",
                             aCommands);
    Finish(aSession,
           aSession.isWriteUncertain ? ApplyOutcome::Unknown
                                     : ApplyOutcome::NotApplied,
           distribution_.Held().generation(),
           "the configuration in the store cannot be parsed",
           aCommands);
    return;
  }
  if (current.value.generation() != 0) {
    distribution_.OnStored(current.value, aPeers, aNow, aCommands);
  }
  const auto& held = distribution_.Held();
  const bool heldIsNewer = held.generation() > current.value.generation();
  current.hasConflictingTexts =
    held.generation() == current.value.generation() &&
    held.digest() != current.value.digest();
  current.newest = heldIsNewer ? held : current.value;
  if (aSession.isWriteUncertain &&
      aEntry.revision != aSession.uncertainRevision) {
    // The uncertain write either took effect before this entry or never will:
    // revisions are never reused, so its expected revision cannot match again.
    aSession.isWriteUncertain = false;
  }
  if (!aSession.isFinished) {
    FinishOrWrite(aSession, current, aCommands);
  }
}

bool
ApplyCoordinator::IsOwnWrite(const Session& aSession,
                             const wire::StoredConfiguration& aValue)
{
  const auto& id = aSession.request.applyId;
  const auto& recent = aValue.recent_applies();
  if (!id.empty() && (aValue.apply_id() == id ||
                      std::ranges::find(recent, id) != recent.end())) {
    return true;
  }
  return aSession.writes > 0 &&
         aValue.generation() == aSession.written.generation() &&
         aValue.digest() == aSession.written.digest();
}

void
ApplyCoordinator::FinishOrWrite(Session& aSession,
                                const CurrentState& aCurrent,
                                Commands& aCommands)
{
  const auto& newest = aCurrent.newest;
  if (IsOwnWrite(aSession, aCurrent.value) || IsOwnWrite(aSession, newest)) {
    const bool isNewest = newest.apply_id() == aSession.request.applyId;
    const auto generation = aSession.writes > 0 && !isNewest
                              ? aSession.written.generation()
                              : newest.generation();
    Finish(aSession,
           ApplyOutcome::Accepted,
           generation,
           "the change was accepted earlier",
           aCommands);
    return;
  }
  const auto& text = aSession.request.text;
  if (newest.generation() != 0 && newest.text() == text) {
    Finish(aSession,
           ApplyOutcome::Unchanged,
           newest.generation(),
           "the text is in force already",
           aCommands);
    return;
  }
  if (!aSession.base) {
    aSession.base = aSession.request.baseGeneration != 0
                      ? aSession.request.baseGeneration
                      : newest.generation();
  }
  const auto generation = std::to_string(newest.generation());
  if (*aSession.base != newest.generation()) {
    FinishConflict(aSession,
                   newest,
                   "the change is based on generation " +
                     std::to_string(*aSession.base) + ", but generation " +
                     generation + " was accepted",
                   aCommands);
  } else if (aCurrent.hasConflictingTexts &&
             aSession.request.baseGeneration != 0) {
    FinishConflict(
      aSession,
      newest,
      "generation " + generation +
        " exists with two different texts; apply with base generation 0 to "
        "replace both",
      aCommands);
  } else if (aSession.writes == kMaxWrites) {
    Finish(aSession,
           aSession.isWriteUncertain ? ApplyOutcome::Unknown
                                     : ApplyOutcome::NotApplied,
           newest.generation(),
           "gave up after " + std::to_string(kMaxWrites) +
             " writes that did not succeed or whose answers were lost",
           aCommands);
  } else {
    Write(aSession, aCurrent, aCommands);
  }
}

void
ApplyCoordinator::Write(Session& aSession,
                        const CurrentState& aCurrent,
                        Commands& aCommands)
{
  wire::StoredConfiguration value;
  value.set_generation(aCurrent.newest.generation() + 1);
  value.set_digest(state::DigestOfText(aSession.request.text));
  value.set_text(aSession.request.text);
  value.set_apply_id(aSession.request.applyId);
  value.add_recent_applies(aSession.request.applyId);
  for (const auto& id : aCurrent.value.recent_applies()) {
    if (value.recent_applies_size() < kMaxRecentApplies) {
      value.add_recent_applies(id);
    }
  }
  aSession.expectedRevision = aCurrent.revision;
  aSession.written = std::move(value);
  ++aSession.writes;
  aSession.stage = Stage::Writing;
  aSession.call = numbers_.Next();
  aCommands.push_back(
    CallStore{ aSession.call,
               StoreSwap{ protocol::kConfigurationKey,
                          aSession.expectedRevision,
                          aSession.written.SerializeAsString(),
                          0 } });
}

void
ApplyCoordinator::Retry(Session& aSession,
                        std::string aError,
                        state::Instant aNow)
{
  aSession.lastError = std::move(aError);
  aSession.nextAttempt = aNow + aSession.backoff.Next(random_);
}

void
ApplyCoordinator::FinishConflict(Session& aSession,
                                 const wire::StoredConfiguration& aWinner,
                                 std::string aMessage,
                                 Commands& aCommands)
{
  if (aSession.isWriteUncertain) {
    Finish(aSession,
           ApplyOutcome::Unknown,
           aWinner.generation(),
           kUnknownMessage,
           aCommands);
    return;
  }
  aSession.isFinished = true;
  aCommands.push_back(FinishApply{ aSession.request.id,
                                   ApplyOutcome::Conflict,
                                   aWinner.generation(),
                                   std::move(aMessage),
                                   aWinner.text() });
}

void
ApplyCoordinator::FinishAtDeadline(Session& aSession, Commands& aCommands)
{
  const bool mayTakeEffect =
    aSession.stage == Stage::Writing || aSession.isWriteUncertain;
  Finish(aSession,
         mayTakeEffect ? ApplyOutcome::Unknown : ApplyOutcome::NotApplied,
         aSession.base.value_or(0),
         mayTakeEffect
           ? kUnknownMessage
           : "the change could not be written before the deadline: " +
               aSession.lastError,
         aCommands);
}

void
ApplyCoordinator::Finish(Session& aSession,
                         ApplyOutcome aOutcome,
                         state::Generation aGeneration,
                         std::string aMessage,
                         Commands& aCommands)
{
  if (std::exchange(aSession.isFinished, true)) {
    return;
  }
  if (aOutcome == ApplyOutcome::Accepted) {
    aCommands.push_back(
      WriteLog{ LogLevel::Info,
                "apply",
                "Accepted. generation=" + std::to_string(aGeneration) });
  }
  aCommands.push_back(FinishApply{
    aSession.request.id, aOutcome, aGeneration, std::move(aMessage), "" });
}

} // namespace teaselhold::coordination
