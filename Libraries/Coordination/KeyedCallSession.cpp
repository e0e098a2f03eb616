#include "Coordination/CallSession.h"

/// The part of CallSession that handles requests with an idempotency key.
namespace teaselhold::coordination {

CallStep
CallSession::StartKeyed(state::Instant aNow)
{
  const auto name =
    KeyedRequestName(service_, facts_.tenant, facts_.idempotencyKey);
  keyHash_ = state::DigestOfText(name);
  keyed_.emplace(environment_.claims, name, facts_.fingerprint);
  currentEndpoint_ = PickNext(aNow);
  return OnClaimStep(keyed_->Begin(currentEndpoint_.get(), aNow), aNow);
}

CallStep
CallSession::FinishClaim(const StoreResult& aResult, state::Instant aNow)
{
  return OnClaimStep(keyed_->Finish(aResult, aNow), aNow);
}

CallStep
CallSession::OnClaimStep(const KeyedCall::Step& aStep, state::Instant aNow)
{
  if (const auto* step = std::get_if<ClaimStep>(&aStep)) {
    if (aNow < deadline_) {
      return *step;
    }
    ReleaseEndpoint();
    if (attempts_ == 0) {
      lastOutcome_ = NotRun{ NotRunReason::ClaimUnavailable };
    }
    return End();
  }
  if (const auto* failed = std::get_if<KeyedCall::Failed>(&aStep)) {
    ReleaseEndpoint();
    // After an attempt, the refusal of that attempt is the more precise
    // outcome.
    if (attempts_ == 0) {
      lastOutcome_ = NotRun{ failed->reason };
    }
    return End();
  }
  return OnClaimed(std::get<KeyedCall::Claimed>(aStep), aNow);
}

CallStep
CallSession::OnClaimed(const KeyedCall::Claimed& aClaimed, state::Instant aNow)
{
  binding_ = aClaimed.binding;
  mayStart_ = aClaimed.mayStart;
  if (!mayStart_) {
    // Another send may have run the request, unless the executor reports
    // otherwise.
    unknownOutcome_ = Unknown{ UnknownReason::ExecutorGone };
  }
  return SendToExecutor(aNow);
}

CallStep
CallSession::SendToExecutor(state::Instant aNow)
{
  const bool isPicked = currentEndpoint_ != nullptr &&
                        currentEndpoint_->node == binding_.node &&
                        currentEndpoint_->incarnation == binding_.incarnation;
  if (!isPicked) {
    ReleaseEndpoint();
    auto endpoint = FindExecutor(binding_);
    if (endpoint == nullptr) {
      return End();
    }
    environment_.router.OnRequestStarted(endpoint, aNow);
    currentEndpoint_ = std::move(endpoint);
  }
  return Send(aNow);
}

EndpointPointer
CallSession::FindExecutor(const ClaimBinding& aBinding) const
{
  auto known = environment_.router.Find(aBinding.node);
  if (known != nullptr && known->incarnation == aBinding.incarnation) {
    // A node that is reported down may still be reachable, and a draining node
    // still answers from its run ledger.
    return known->state == state::EndpointState::Gone ? nullptr : known;
  }
  if (known != nullptr && known->incarnation > aBinding.incarnation) {
    return nullptr;
  }
  auto record = std::make_shared<state::EndpointRecord>();
  record->node = aBinding.node;
  record->incarnation = aBinding.incarnation;
  record->dataAddress = aBinding.dataAddress;
  record->service = service_;
  return record;
}

CallStep
CallSession::FinishKeyed(const Outcome& aOutcome, state::Instant aNow)
{
  if (const auto* notRun = std::get_if<NotRun>(&aOutcome)) {
    return OnKeyedRefusal(notRun->reason, aNow);
  }
  const auto& unknown = std::get<Unknown>(aOutcome);
  unknownOutcome_ = unknown;
  return RetryPolicy::MayQueryResultAgain(unknown.reason)
           ? ResendToExecutor(aNow)
           : CallStep(End());
}

CallStep
CallSession::OnKeyedRefusal(NotRunReason aReason, state::Instant aNow)
{
  if (aReason == NotRunReason::KeyMismatch) {
    unknownOutcome_.reset();
    return End();
  }
  if (RetryPolicy::ProvesKeyNotRun(aReason, mayStart_)) {
    unknownOutcome_.reset();
    return RetryPolicy::IsRetryUseful(aReason) ? Retry(aNow) : CallStep(End());
  }
  const bool isGone = aReason == NotRunReason::WrongExecutor ||
                      aReason == NotRunReason::WrongService;
  // In the other cases the executor may accept the request later.
  return isGone || !RetryPolicy::IsRetryUseful(aReason)
           ? End()
           : ResendToExecutor(aNow);
}

CallStep
CallSession::ResendToExecutor(state::Instant aNow)
{
  mayStart_ = false;
  if (!MayRetry(aNow)) {
    return End();
  }
  SpendRetry(aNow);
  return SendToExecutor(aNow);
}

} // namespace teaselhold::coordination
