#include "Services/teaselholdd/VersionExchange.h"

#include "Protocol/Headers.h"

#include <algorithm>

namespace teaselhold::daemon {

namespace {

namespace headers = protocol::headers;

constexpr state::Duration kReportInterval = std::chrono::seconds(1);

/// An attestation that is younger than the last one that was reported by this
/// part of the bound of keys is reported at once.
constexpr int kReportsPerBound = 5;

/// Two nodes know of the same check with times that differ by less, as each
/// message takes some time.
constexpr state::Duration kCheckStep = std::chrono::milliseconds(100);

/// Reads milliseconds, which may be negative. Longer ages than a day, in either
/// direction, are no ages.
std::optional<std::chrono::milliseconds>
ParseAge(std::string_view aText)
{
  constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);
  const bool isNegative = aText.starts_with('-');
  const auto number =
    ParseNumber<std::uint32_t>(aText.substr(isNegative ? 1 : 0));
  if (!number || *number > kMaxAge.count()) {
    return std::nullopt;
  }
  const std::chrono::milliseconds age(*number);
  return isNegative ? -age : age;
}

} // namespace

void
VersionExchange::SetOwn(state::Generation aGeneration)
{
  newest_ = std::max(newest_, aGeneration);
}

void
VersionExchange::Tell(HttpFields& aMessage) const
{
  SetHeader(aMessage, headers::kGeneration, std::to_string(newest_));
  rollouts_.Tell(aMessage);
}

void
VersionExchange::Learn(const HttpFields& aMessage)
{
  rollouts_.Learn(aMessage);
  const auto generation =
    ReadNumber<state::Generation>(aMessage, headers::kGeneration);
  if (!generation) {
    return;
  }
  const auto now = clock_.Now();
  const auto attested = attestations_.Latest();
  // The control plane then need not ask the store.
  const bool isMuchYounger =
    attested && attested->time - reported_ >= keyRule_.bound / kReportsPerBound;
  const bool isChecked = checked_ - reportedCheck_ >= kCheckStep;
  if (*generation <= newest_ && now < nextReport_ && !isMuchYounger &&
      !isChecked) {
    return;
  }
  newest_ = std::max(newest_, *generation);
  nextReport_ = now + kReportInterval;
  reported_ = attested ? attested->time : reported_;
  reportedCheck_ = checked_;
  sink_({ newest_,
          attested,
          checked_ == state::Instant{ 0 } ? std::nullopt
                                          : std::optional(checked_) });
}

void
VersionExchange::TellAttested(HttpFields& aAnswer,
                              state::Instant aArrived) const
{
  const auto report = attestations_.Report(aArrived);
  if (keyRule_.IsStrict() && report) {
    SetHeader(aAnswer,
              headers::kNewest,
              std::to_string(report->generation) + ";" +
                std::to_string(report->age.count()));
  }
}

void
VersionExchange::LearnAttested(const HttpFields& aAnswer, state::Instant aSent)
{
  const auto text = ReadHeader(aAnswer, headers::kNewest);
  const auto separator = text.find(';');
  if (!keyRule_.IsStrict() || separator == std::string_view::npos) {
    return;
  }
  const auto generation =
    ParseNumber<state::Generation>(text.substr(0, separator));
  const auto age = ParseAge(text.substr(separator + 1));
  if (generation && age) {
    attestations_.Learn({ *generation, *age }, aSent);
  }
}

void
VersionExchange::TellChecked(HttpFields& aAnswer, state::Instant aArrived) const
{
  if (checked_ != state::Instant{ 0 }) {
    const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(aArrived - checked_);
    SetHeader(aAnswer, headers::kChecked, std::to_string(age.count()));
  }
}

void
VersionExchange::LearnChecked(const HttpFields& aAnswer, state::Instant aSent)
{
  if (const auto age = ParseAge(ReadHeader(aAnswer, headers::kChecked))) {
    AddCheck(aSent - *age);
  }
}

} // namespace teaselhold::daemon
