#include "Coordination/DirectApply.h"

#include "Protocol/ConfigurationText.h"
#include "admin.pb.h"

namespace teaselhold::coordination {

void
DirectApply::OnApply(const ApplyRequested& aRequest,
                     const ConfigurationWatch& aConfiguration,
                     Commands& aCommands)
{
  const auto& active = aConfiguration.Active();
  const auto current = active == nullptr ? 0 : active->GetGeneration();
  auto compiled = protocol::CompileSubmission(aRequest.text, current + 1);
  if (!compiled) {
    aCommands.push_back(
      FinishApply{ aRequest.id,
                   ApplyOutcome::Refused,
                   current,
                   protocol::FormatErrors("text", compiled.error()),
                   "" });
    return;
  }
  if (call_ != 0) {
    aCommands.push_back(FinishApply{ aRequest.id,
                                     ApplyOutcome::NotApplied,
                                     current,
                                     "another apply is in progress",
                                     "" });
    return;
  }
  pending_ = aRequest;
  call_ = callNumbers_.Next();
  wire::StoredConfiguration stored;
  stored.set_generation(current + 1);
  stored.set_digest((*compiled)->Digest());
  stored.set_text(aRequest.text);
  stored.set_apply_id(aRequest.applyId);
  aCommands.push_back(CallStore{ call_,
                                 StoreSwap{ protocol::kConfigurationKey,
                                            aConfiguration.Revision(),
                                            stored.SerializeAsString(),
                                            0 } });
}

bool
DirectApply::OnStoreAnswer(const StoreAnswered& aAnswer,
                           ConfigurationWatch& aConfiguration,
                           Commands& aCommands)
{
  if (call_ == 0 || aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  const auto& result = aAnswer.result;
  FinishApply finish{ pending_.id, ApplyOutcome::Unknown, 0, "", "" };
  if (const auto* swap = std::get_if<protocol::SwapResult>(&result)) {
    wire::StoredConfiguration stored;
    stored.ParseFromString(swap->current.value);
    finish.generation = stored.generation();
    finish.outcome =
      swap->swapped ? ApplyOutcome::Accepted : ApplyOutcome::Conflict;
    finish.currentText = swap->swapped ? "" : stored.text();
    if (swap->swapped) {
      aCommands.push_back(WriteLog{ LogLevel::Info,
                                    "apply",
                                    "Accepted. generation=" +
                                      std::to_string(stored.generation()) });
    }
    aConfiguration.OnStoredValue(
      swap->current, VersionSource::Apply, aCommands);
  } else if (const auto* error = std::get_if<protocol::StoreError>(&result)) {
    finish.outcome = error->code == protocol::StoreErrorCode::Unknown
                       ? ApplyOutcome::Unknown
                       : ApplyOutcome::NotApplied;
    finish.message = error->message;
  }
  aCommands.push_back(std::move(finish));
  return true;
}

} // namespace teaselhold::coordination
