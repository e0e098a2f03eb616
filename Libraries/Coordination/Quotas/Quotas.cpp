#include "Coordination/Quotas/Quotas.h"

#include <algorithm>

namespace teaselhold::coordination::quotas {

namespace {

/// Electors that are asked in vain one after the other before the position
/// counts as without a lender.
constexpr std::size_t kMaxMisses = 4;
/// For which a position without a lender is not asked.
constexpr state::Duration kBlockTime = std::chrono::milliseconds(250);

/// An account that the lender does not know yet.
constexpr state::Duration kUnknownTime = std::chrono::milliseconds(300);

/// Idle credit goes back to its lender this long before it expires.
constexpr state::Duration kReturnTime = std::chrono::milliseconds(2000);

/// Between asks for accounts whose credit is not urgent, so that one message
/// serves many accounts.
constexpr state::Duration kAskInterval = std::chrono::seconds(1);

constexpr state::Duration kMinRetryTime = std::chrono::milliseconds(100);

} // namespace

Quotas::Quotas(QuotaNode aNode,
               const QuotaOptions& aOptions,
               state::Instant aStart)
  : node_(std::move(aNode))
  , options_(aOptions)
  , leases_(node_.name, node_.incarnation, aStart)
{
}

void
Quotas::SetOptions(const QuotaOptions& aOptions, state::Instant aNow)
{
  options_ = aOptions;
  QuotaCommands ignored;
  if (const auto configuration = std::move(configuration_)) {
    SetConfiguration(configuration, aNow, ignored);
  }
}

void
Quotas::SetConfiguration(const state::ConfigurationPointer& aConfiguration,
                         state::Instant aNow,
                         QuotaCommands& aCommands)
{
  if (aConfiguration == configuration_ || aConfiguration == nullptr) {
    return;
  }
  configuration_ = aConfiguration;
  const auto slots = SlotCount(*configuration_);
  const bool isDealtAnew = slots != slots_ || accounts_.empty();
  slots_ = slots;
  Accounts accounts;
  for (const auto& spec : configuration_->Accounts()) {
    if (spec.requestsPerSecond <= 0) {
      continue;
    }
    const auto limit = PartOf(spec, options_);
    auto& account = accounts[spec.name];
    if (const auto old = accounts_.find(spec.name); old != accounts_.end()) {
      account = std::move(old->second);
      accounts_.erase(old);
      if (limit.capacity < account.limit.capacity) {
        account.wallet.Shrink(limit.capacity / account.limit.capacity);
      }
    }
    account.limit = limit;
    account.slot = SlotOf(spec.name, slots_);
  }
  for (const auto& [name, account] : accounts_) {
    aCommands.emplace_back(WakeAccount{ name });
  }
  accounts_ = std::move(accounts);
  std::erase_if(
    active_, [this](const auto& aName) { return !accounts_.contains(aName); });
  std::erase_if(lent_, [this](const auto& aEntry) {
    return !accounts_.contains(aEntry.first.first);
  });
  for (auto& [key, lent] : lent_) {
    lent.ledger.SetLimit(accounts_.at(key.first).limit, aNow);
  }
  if (isDealtAnew) {
    routes_.clear();
    leases_.SetPositions(ring_, IsActive() ? slots_ : 0, aNow);
  }
}

void
Quotas::SetNodes(const state::EndpointTable& aTable, state::Instant aNow)
{
  if (ring_.SetNodes(aTable)) {
    leases_.SetPositions(ring_, IsActive() ? slots_ : 0, aNow);
  }
}

TakeResult
Quotas::Take(const std::string& aAccount,
             bool aIsFirst,
             state::Instant aNow,
             QuotaCommands& aCommands)
{
  const auto entry = accounts_.find(aAccount);
  if (entry == accounts_.end()) {
    return Credit{};
  }
  auto& account = entry->second;
  auto& wallet = account.wallet;
  if (aIsFirst) {
    wallet.RecordDemand(aNow);
    active_.insert(aAccount);
  }
  auto credit = wallet.Take(aNow);
  if (!credit) {
    ++wallet.waiting;
    AskFor(aAccount, account, aNow, aCommands);
    // This node may have lent it to itself.
    credit = wallet.Take(aNow);
    if (!credit && wallet.isAsking) {
      return WaitForCredit{};
    }
    --wallet.waiting;
  } else if (wallet.IsUrgent(aNow)) {
    AskFor(aAccount, account, aNow, aCommands);
  }
  if (credit) {
    ++account.counts.granted;
    return *credit;
  }
  ++account.counts.refused;
  return NoCredit{ std::max(EmptyTime(account, aNow), kMinRetryTime) };
}

void
Quotas::EndWait(const std::string& aAccount)
{
  const auto entry = accounts_.find(aAccount);
  if (entry != accounts_.end() && entry->second.wallet.waiting > 0) {
    --entry->second.wallet.waiting;
  }
}

void
Quotas::RecordRefusal(const std::string& aAccount)
{
  const auto entry = accounts_.find(aAccount);
  if (entry != accounts_.end()) {
    ++entry->second.counts.refused;
  }
}

void
Quotas::GiveBack(const std::string& aAccount,
                 const Credit& aCredit,
                 state::Instant aNow)
{
  const auto entry = accounts_.find(aAccount);
  if (entry != accounts_.end()) {
    entry->second.wallet.GiveBack(aCredit, aNow);
  }
}

bool
Quotas::IsLenderOf(const std::string& aAccount,
                   std::uint32_t aPart,
                   state::Instant aNow) const
{
  const auto account = accounts_.find(aAccount);
  return account != accounts_.end() &&
         IsLending(PositionOf(account->second, aPart), aNow);
}

std::map<std::string, AccountCounts>
Quotas::Counts() const
{
  std::map<std::string, AccountCounts> counts;
  for (const auto& [name, account] : accounts_) {
    counts.emplace(name, account.counts);
  }
  return counts;
}

Position
Quotas::PositionOf(const Account& aAccount, std::uint32_t aPart) const
{
  return { slots_, aAccount.slot, aPart };
}

std::vector<std::uint32_t>
Quotas::PartOrder(const Account& aAccount) const
{
  // Nodes begin with different parts, so that each lender serves a third.
  const auto first =
    static_cast<std::uint32_t>(state::DigestOfText(node_.name) % kParts);
  const auto distance = [&](std::uint32_t aPart) {
    const auto route = routes_.find(PositionOf(aAccount, aPart));
    if (route == routes_.end() || route->second.lender.empty()) {
      return 2;
    }
    if (route->second.lender == node_.name) {
      return 0;
    }
    const auto* lender = ring_.Find(route->second.lender);
    return lender != nullptr && lender->dataCentre == node_.dataCentre ? 1 : 2;
  };
  std::vector<std::uint32_t> order;
  for (std::uint32_t i = 0; i < kParts; ++i) {
    order.push_back((first + i) % kParts);
  }
  std::ranges::stable_sort(order, {}, distance);
  return order;
}

std::optional<std::uint32_t>
Quotas::ChoosePart(const Account& aAccount, state::Instant aNow) const
{
  for (const auto part : PartOrder(aAccount)) {
    if (PartOpens(aAccount, part) <= aNow) {
      return part;
    }
  }
  return std::nullopt;
}

state::Instant
Quotas::PartOpens(const Account& aAccount, std::uint32_t aPart) const
{
  const auto route = routes_.find(PositionOf(aAccount, aPart));
  const auto blocked =
    route == routes_.end() ? state::Instant(0) : route->second.blockedUntil;
  return std::max(blocked, aAccount.wallet.LotOf(aPart).emptyUntil);
}

state::Duration
Quotas::EmptyTime(const Account& aAccount, state::Instant aNow) const
{
  auto first = PartOpens(aAccount, 0);
  for (std::uint32_t part = 1; part < kParts; ++part) {
    first = std::min(first, PartOpens(aAccount, part));
  }
  return first - aNow;
}

std::string
Quotas::Target(const Position& aPosition)
{
  auto& route = routes_[aPosition];
  if (!route.lender.empty() && ring_.Find(route.lender) != nullptr) {
    return route.lender;
  }
  const auto electors = ring_.Electors(aPosition);
  if (electors.empty()) {
    return {};
  }
  return electors[route.turn % electors.size()];
}

Ask
Quotas::MakeAsk(const std::string& aName,
                const Account& aAccount,
                std::uint32_t aPart,
                state::Instant aNow) const
{
  const auto& wallet = aAccount.wallet;
  const auto& lot = wallet.LotOf(aPart);
  const auto held = wallet.Held(aNow);
  const auto target = wallet.Target(aNow);
  Ask ask{ PositionOf(aAccount, aPart), aName };
  ask.term = lot.term;
  ask.held = aNow < lot.expiry ? lot.held : 0;
  ask.need = wallet.waiting > held ? wallet.waiting - held : 0;
  ask.ahead = target > held ? target - held : 0;
  return ask;
}

bool
Quotas::NeedsAsk(const Account& aAccount, state::Instant aNow) const
{
  const auto& wallet = aAccount.wallet;
  return !wallet.isAsking &&
         (wallet.waiting > wallet.Held(aNow) || wallet.IsLow(aNow));
}

void
Quotas::AskFor(const std::string& aName,
               Account& aAccount,
               state::Instant aNow,
               QuotaCommands& aCommands)
{
  // An answer of this node itself comes at once; then the next part is asked.
  for (std::uint32_t tries = 0; tries < kParts; ++tries) {
    const auto part = ChoosePart(aAccount, aNow);
    if (!part || !NeedsAsk(aAccount, aNow)) {
      return;
    }
    AskPart(aName, aAccount.slot, *part, aNow, aCommands);
  }
}

void
Quotas::AskPart(const std::string& aName,
                std::uint32_t aSlot,
                std::uint32_t aPart,
                state::Instant aNow,
                QuotaCommands& aCommands)
{
  const Position position{ slots_, aSlot, aPart };
  const auto node = Target(position);
  if (node.empty()) {
    routes_[position].blockedUntil = aNow + kBlockTime;
    return;
  }
  QuestionMessage message{ node_.name, node_.incarnation, {} };
  PendingCall call{ node, aNow, position, {} };
  for (const auto& name : active_) {
    auto& account = accounts_.at(name);
    const bool isWanted =
      name == aName || (account.slot == aSlot && NeedsAsk(account, aNow) &&
                        PartOpens(account, aPart) <= aNow);
    if (isWanted) {
      message.questions.emplace_back(MakeAsk(name, account, aPart, aNow));
      account.wallet.isAsking = true;
      call.accounts.push_back(name);
    }
  }
  Send(node, std::move(message), std::move(call), aNow, aCommands);
}

void
Quotas::AskAhead(state::Instant aNow, QuotaCommands& aCommands)
{
  if (aNow < nextAskAhead_) {
    return;
  }
  nextAskAhead_ = aNow + kAskInterval;
  const auto names = active_;
  for (const auto& name : names) {
    AskFor(name, accounts_.at(name), aNow, aCommands);
  }
  std::erase_if(active_, [&](const auto& aName) {
    return accounts_.at(aName).wallet.IsIdle(aNow);
  });
}

void
Quotas::Send(const std::string& aNode,
             QuestionMessage aMessage,
             PendingCall aCall,
             state::Instant aNow,
             QuotaCommands& aCommands)
{
  const auto number = ++lastCall_;
  calls_.emplace(number, std::move(aCall));
  if (aNode == node_.name) {
    const auto answer = OnQuestions(aMessage, aNow);
    OnAnswer(number, &answer, aNow, aCommands);
    return;
  }
  const auto* node = ring_.Find(aNode);
  if (node == nullptr) {
    OnAnswer(number, nullptr, aNow, aCommands);
    return;
  }
  aCommands.emplace_back(
    SendQuestions{ number, node->address, std::move(aMessage) });
}

void
Quotas::SendClaims(const LendingLeases::OutgoingClaims& aClaims,
                   state::Instant aNow,
                   QuotaCommands& aCommands)
{
  std::map<std::string, QuestionMessage> messages;
  for (const auto& claim : aClaims) {
    auto& message = messages[claim.elector];
    message.questions.emplace_back(claim.claim);
  }
  for (auto& [elector, message] : messages) {
    message.node = node_.name;
    message.incarnation = node_.incarnation;
    Send(elector,
         std::move(message),
         PendingCall{ elector, aNow, std::nullopt, {} },
         aNow,
         aCommands);
  }
}

void
Quotas::Tick(state::Instant aNow, QuotaCommands& aCommands)
{
  LendingLeases::OutgoingClaims claims;
  leases_.Tick(aNow, claims);
  SendClaims(claims, aNow, aCommands);
  ReturnIdle(aNow, aCommands);
  AskAhead(aNow, aCommands);
}

void
Quotas::Leave(state::Instant aNow, QuotaCommands& aCommands)
{
  LendingLeases::OutgoingClaims claims;
  leases_.Leave(aNow, claims);
  SendClaims(claims, aNow, aCommands);
}

void
Quotas::ReturnIdle(state::Instant aNow, QuotaCommands& aCommands)
{
  std::map<Position, std::pair<QuestionMessage, PendingCall>> messages;
  for (const auto& name : active_) {
    auto& account = accounts_.at(name);
    for (std::uint32_t part = 0; part < kParts; ++part) {
      auto& lot = account.wallet.LotOf(part);
      const bool isEnding =
        lot.held > 0 && aNow < lot.expiry && lot.expiry - aNow < kReturnTime;
      if (!isEnding || account.wallet.isAsking || account.wallet.waiting > 0) {
        continue;
      }
      const auto position = PositionOf(account, part);
      auto& [message, call] = messages[position];
      const auto target = account.wallet.Target(aNow);
      Ask ask{ position, name, lot.term };
      ask.returned = lot.held;
      ask.ahead = std::min(target, lot.held);
      lot.held = 0;
      account.wallet.isAsking = true;
      message.questions.emplace_back(ask);
      call.accounts.push_back(name);
    }
  }
  for (auto& [position, entry] : messages) {
    auto& [message, call] = entry;
    message.node = node_.name;
    message.incarnation = node_.incarnation;
    call.node = Target(position);
    call.sent = aNow;
    call.position = position;
    const auto node = call.node;
    Send(node, std::move(message), std::move(call), aNow, aCommands);
  }
}

AnswerMessage
Quotas::OnQuestions(const QuestionMessage& aMessage, state::Instant aNow)
{
  AnswerMessage answers;
  for (const auto& question : aMessage.questions) {
    if (const auto* claim = std::get_if<Claim>(&question)) {
      answers.answers.emplace_back(
        leases_.OnClaim(aMessage.node, aMessage.incarnation, *claim, aNow));
    } else {
      answers.answers.push_back(
        OnAsk(aMessage.node, std::get<Ask>(question), aNow));
    }
  }
  return answers;
}

Answer
Quotas::OnAsk(const std::string& aFrom, const Ask& aAsk, state::Instant aNow)
{
  const auto lending = leases_.FindLending(aAsk.position, aNow);
  if (!lending) {
    return Moved{ aAsk.position,
                  aAsk.account,
                  leases_.LenderOf(aAsk.position, aNow) };
  }
  const auto account = accounts_.find(aAsk.account);
  if (account == accounts_.end() ||
      account->second.slot != aAsk.position.slot ||
      slots_ != aAsk.position.slots) {
    Grant none{ aAsk.position, aAsk.account, lending->term };
    none.emptyFor = kUnknownTime;
    return none;
  }
  const std::pair key(aAsk.account, aAsk.position.part);
  auto lent = lent_.find(key);
  if (lent == lent_.end() || lent->second.term != lending->term) {
    lent =
      lent_
        .insert_or_assign(
          key,
          LentAccount{
            lending->term,
            { account->second.limit, lending->term, lending->since, aNow } })
        .first;
  }
  return lent->second.ledger.Serve(aFrom, aAsk, aNow);
}

void
Quotas::OnAnswer(std::uint64_t aCall,
                 const AnswerMessage* aAnswer,
                 state::Instant aNow,
                 QuotaCommands& aCommands)
{
  const auto entry = calls_.find(aCall);
  if (entry == calls_.end()) {
    return;
  }
  const auto call = std::move(entry->second);
  calls_.erase(entry);
  for (const auto& name : call.accounts) {
    if (const auto account = accounts_.find(name); account != accounts_.end()) {
      account->second.wallet.isAsking = false;
    }
  }
  if (aAnswer == nullptr) {
    OnNoAnswer(call, aNow);
  } else {
    bool isMoved = false;
    for (const auto& answer : aAnswer->answers) {
      if (const auto* vouch = std::get_if<Vouch>(&answer)) {
        leases_.OnVouch(call.node, *vouch, call.sent, aNow);
      } else if (const auto* grant = std::get_if<Grant>(&answer)) {
        OnGrant(*grant, call, aNow);
      } else if (!isMoved) {
        isMoved = true;
        const auto& moved = std::get<Moved>(answer);
        OnMoved(moved.position, call.node, moved.lender, aNow);
      }
    }
  }
  for (const auto& name : call.accounts) {
    const auto account = accounts_.find(name);
    if (account != accounts_.end() && account->second.wallet.waiting > 0) {
      aCommands.emplace_back(WakeAccount{ name });
    }
  }
}

void
Quotas::OnGrant(const Grant& aGrant,
                const PendingCall& aCall,
                state::Instant aNow)
{
  const auto entry = accounts_.find(aGrant.account);
  if (entry == accounts_.end() ||
      aGrant.position != PositionOf(entry->second, aGrant.position.part)) {
    return;
  }
  auto& route = routes_[aGrant.position];
  route.lender = aCall.node;
  route.misses = 0;
  auto& lot = entry->second.wallet.LotOf(aGrant.position.part);
  if (lot.term != aGrant.term || lot.expiry <= aNow) {
    lot.held = 0;
  }
  lot.term = aGrant.term;
  lot.held += aGrant.need + aGrant.ahead;
  lot.expiry = aCall.sent + kCreditTerm;
  if (aGrant.ahead == 0) {
    entry->second.wallet.DeferAhead(aNow);
  }
  if (aGrant.emptyFor > state::Duration(0)) {
    lot.emptyUntil = aNow + aGrant.emptyFor;
  }
}

void
Quotas::OnMoved(const Position& aPosition,
                const std::string& aAsked,
                const std::string& aLender,
                state::Instant aNow)
{
  auto& route = routes_[aPosition];
  if (!aLender.empty() && aLender != aAsked && ring_.Find(aLender) != nullptr) {
    route.lender = aLender;
  } else {
    route.lender.clear();
    ++route.turn;
  }
  if (++route.misses >= kMaxMisses) {
    route.misses = 0;
    route.blockedUntil = aNow + kBlockTime;
  }
}

void
Quotas::OnNoAnswer(const PendingCall& aCall, state::Instant aNow)
{
  if (!aCall.position) {
    return;
  }
  auto& route = routes_[*aCall.position];
  route.lender.clear();
  ++route.turn;
  // Other parts are asked meanwhile.
  route.blockedUntil = aNow + kBlockTime;
}

} // namespace teaselhold::coordination::quotas
