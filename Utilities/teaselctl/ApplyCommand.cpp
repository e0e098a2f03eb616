#include "Utilities/teaselctl/ApplyCommand.h"

#include "Utilities/teaselctl/LineDifference.h"

#include <algorithm>
#include <random>
#include <thread>

namespace teaselhold::tool {

namespace {

using std::chrono::milliseconds;

/// A node answers an apply up to 2 s after the deadline it was given.
constexpr milliseconds kAnswerGrace{ 3000 };
/// After the deadline: longer than a node waits for one call of the store.
constexpr milliseconds kResolveGrace{ 3000 };
constexpr milliseconds kResolveInterval{ 300 };
constexpr milliseconds kFindTimeout{ 3000 };
/// The store remembers this many applies.
constexpr std::uint64_t kRememberedApplies = 16;

std::string
MakeApplyId()
{
  std::random_device random;
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return std::to_string(now) + "-" + std::to_string(random()) + "-" +
         std::to_string(random());
}

} // namespace

ApplyCommand::ApplyCommand(const CommandContext& aContext)
  : context_(aContext)
  , applyId_(MakeApplyId())
{
}

ExitCode
ApplyCommand::Run()
{
  auto text = ReadValidText(context_);
  if (!text) {
    return Failed;
  }
  text_ = std::move(*text);
  if (!ReadBase()) {
    return Failed;
  }
  deadline_ = Clock::now() + context_.options.timeout;
  return Send();
}

bool
ApplyCommand::ReadBase()
{
  const auto& named = context_.options.base;
  base_ = named.value_or(0);
  const auto response = context_.nodes.Call(
    &wire::Admin::Stub::Get, wire::GetRequest(), context_.options.timeout);
  if (!response) {
    context_.report.Fail(Failed,
                         response.error().message +
                           "\nnothing was applied; name nodes that run with "
                           "--node A,B,...");
    return false;
  }
  if (!named && response->generation() == 0 && !CheckIsFirst()) {
    return false;
  }
  base_ = named.value_or(response->generation());
  if (base_ == response->generation()) {
    baseText_ = response->text();
  }
  return true;
}

bool
ApplyCommand::CheckIsFirst()
{
  const auto status = context_.nodes.Call(&wire::Admin::Stub::Status,
                                          wire::StatusRequest(),
                                          context_.options.timeout);
  if (!status) {
    context_.report.Fail(Failed, status.error().message);
    return false;
  }
  const auto newest =
    std::max(status->store_generation(), status->highest_generation());
  if (newest > 0) {
    context_.report.Fail(Failed,
                         "node " + context_.nodes.Answered() +
                           " has no version in force, but " +
                           std::to_string(newest) +
                           " exists; wait until it has, or name another "
                           "node\nnothing was applied");
  }
  return newest == 0;
}

ExitCode
ApplyCommand::Send()
{
  wire::ApplyRequest request;
  request.set_text(text_);
  request.set_base_generation(base_);
  request.set_apply_id(applyId_);
  request.set_deadline_milliseconds(
    static_cast<std::uint32_t>(milliseconds(context_.options.timeout).count()));
  std::string refused;
  for (const auto& node : context_.nodes.All()) {
    const auto response = node->Call(&wire::Admin::Stub::Apply,
                                     request,
                                     context_.options.timeout + kAnswerGrace);
    if (response) {
      return Finish(*response);
    }
    if (!response.error().notSent) {
      return Resolve(response.error().message);
    }
    refused += response.error().message + "\n";
  }
  return context_.report.Fail(
    Failed, refused + "nothing was applied; no node could be reached");
}

ExitCode
ApplyCommand::Finish(const wire::ApplyResponse& aResponse)
{
  switch (aResponse.result()) {
    case wire::ApplyResponse::ACCEPTED:
      return ReportAccepted(
        "accepted", aResponse.generation(), aResponse.message());
    case wire::ApplyResponse::UNCHANGED:
      return ReportAccepted(
        "unchanged", aResponse.generation(), aResponse.message());
    case wire::ApplyResponse::CONFLICT:
      return ReportConflict(aResponse.generation(), aResponse.current_text());
    case wire::ApplyResponse::UNKNOWN:
      return Resolve("the node did not learn the outcome: " +
                     aResponse.message());
    case wire::ApplyResponse::REFUSED:
      return context_.report.Fail(
        Failed, "refused: " + aResponse.message() + "\nnothing was applied");
    default:
      return context_.report.Fail(Failed,
                                  "not applied: " + aResponse.message() +
                                    "\ntry again, or see \"teaselctl status\" "
                                    "for the state of the store");
  }
}

ExitCode
ApplyCommand::Resolve(const std::string& aCause)
{
  context_.report.Note(aCause + "; asking the nodes what became of the apply");
  std::string reason = aCause;
  wire::FindApplyRequest request;
  request.set_apply_id(applyId_);
  do {
    for (const auto& node : context_.nodes.All()) {
      const auto found =
        node->Call(&wire::Admin::Stub::FindApply, request, kFindTimeout);
      if (!found) {
        reason = found.error().message;
        continue;
      }
      if (found->result() == wire::FindApplyResponse::FOUND) {
        return ReportAccepted("accepted", found->generation(), "");
      }
      if (found->result() == wire::FindApplyResponse::UNAVAILABLE) {
        reason = "node " + node->Address() + ": " + found->message();
        continue;
      }
      reason = "the store still has version " +
               std::to_string(found->generation()) + " without this apply";
      const auto later =
        found->generation() - std::min(found->generation(), base_);
      if (later > 0 && found->current_text() == text_) {
        return ReportAccepted(
          "unchanged", found->generation(), "another apply made the same text");
      }
      // A write on the base can no longer succeed, and the store would still
      // remember one that did.
      if (base_ != 0 && later > 0 && later <= kRememberedApplies) {
        return ReportConflict(found->generation(), found->current_text());
      }
    }
    std::this_thread::sleep_for(kResolveInterval);
  } while (Clock::now() < deadline_ + kResolveGrace);
  return ReportUnknown(reason);
}

ExitCode
ApplyCommand::ReportAccepted(std::string_view aResult,
                             std::uint64_t aGeneration,
                             const std::string& aMessage)
{
  std::string line(aResult);
  line += " generation=" + std::to_string(aGeneration);
  line += aMessage.empty() ? "" : " " + aMessage;
  context_.report.Result({ { "result", aResult },
                           { "generation", aGeneration },
                           { "base", base_ },
                           { "apply_id", applyId_ },
                           { "message", aMessage } },
                         line + "\n");
  return Done;
}

ExitCode
ApplyCommand::ReportConflict(std::uint64_t aGeneration,
                             const std::string& aText)
{
  const auto winner = "version " + std::to_string(aGeneration);
  const auto& old = baseText_ ? *baseText_ : text_;
  const auto difference = LineDifference(old, aText, BaseName(), winner);
  context_.report.Errors()
    << "conflict: " << winner << " was accepted after version " << base_
    << ", the base of this text; nothing was applied\n"
    << difference
    << (baseText_ ? ""
                  : "(compared with this file, because the text of the base is "
                    "not known)\n")
    << "take these lines over into " << context_.options.argument
    << ", then: teaselctl apply " << context_.options.argument << " --base "
    << aGeneration << "\n";
  context_.report.Result({ { "result", "conflict" },
                           { "generation", aGeneration },
                           { "base", base_ },
                           { "apply_id", applyId_ },
                           { "difference", difference },
                           { "exit_code", static_cast<int>(Conflict) } },
                         "");
  return Conflict;
}

ExitCode
ApplyCommand::ReportUnknown(const std::string& aCause)
{
  context_.report.Errors() << "outcome unknown: " << aCause << "\n"
                           << "to find out: teaselctl diff "
                           << context_.options.argument << "\n";
  if (base_ != 0) {
    context_.report.Errors()
      << "it is safe to run: teaselctl apply " << context_.options.argument
      << " --base " << base_
      << " (of two applies on one base only one is accepted)\n";
  }
  context_.report.Result({ { "result", "unknown" },
                           { "base", base_ },
                           { "apply_id", applyId_ },
                           { "message", aCause },
                           { "exit_code", static_cast<int>(OutcomeUnknown) } },
                         "");
  return OutcomeUnknown;
}

std::string
ApplyCommand::BaseName() const
{
  return baseText_ ? "version " + std::to_string(base_)
                   : context_.options.argument;
}

} // namespace teaselhold::tool
