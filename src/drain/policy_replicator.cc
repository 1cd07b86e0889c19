#include "drain/policy_replicator.h"

#include <spdlog/spdlog.h>

#include <boost/outcome/try.hpp>
#include <utility>

#include "wire/json.h"

namespace deckhall {
namespace {

constexpr double kReadIntervalSeconds = 5;
constexpr double kRetryDelaySeconds = 1;
// Share of the value limit that a policy may use: the state service may count sizes differently.
constexpr double kUsableValueShare = 0.85;

Result<DisruptionPolicy, PolicyError> ReadAndCheckPolicy(const std::string& text,
                                                         const Settings& settings) {
  BOOST_OUTCOME_TRY(policy, ReadPolicy(text));
  BOOST_OUTCOME_TRYV(CheckPolicy(policy, settings));
  return std::move(policy);
}

}  // namespace

std::string EncodePolicy(const DisruptionPolicy& policy) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("revision");
  writer.Uint64(policy.revision);
  PutString(writer, "text", policy.text);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

size_t MaxPolicyBytes(const Settings& settings) {
  return static_cast<size_t>(settings.effective_state_limits.value_kb * 1024 * kUsableValueShare);
}

void PolicyReplicator::SetLocalPolicy(std::shared_ptr<const DisruptionPolicy> local) {
  local_ = std::move(local);
  // The new policy must be confirmed first: until then no voluntary disruption is allowed.
  confirmed_at_ = -1;
  ScheduleRead();
}

bool PolicyReplicator::IsConfirmed(double since) const {
  return confirmed_at_ >= 0 && confirmed_at_ >= since &&
         clock_->Now() - confirmed_at_ < kConfirmationSeconds;
}

void PolicyReplicator::Tick() {
  if (local_ == nullptr || call_in_flight_ || clock_->Now() < next_read_at_) return;
  Read();
}

void PolicyReplicator::Read() {
  call_in_flight_ = true;
  next_read_at_ = clock_->Now() + kReadIntervalSeconds;
  key_value_store_->Get(kKey,
                        [this, requested_at = clock_->Now()](const KeyValueResponse& response) {
                          call_in_flight_ = false;
                          if (response.status != KeyValueStatus::kOk) {
                            next_read_at_ = clock_->Now() + kRetryDelaySeconds;
                            return;
                          }
                          HandleStoredPolicy(response, requested_at);
                        });
}

void PolicyReplicator::HandleStoredPolicy(const KeyValueResponse& response, double requested_at) {
  if (!response.found) {
    Write(0);
    return;
  }
  const KeyValue& row = response.entries.front();
  rapidjson::Document doc;
  uint64_t revision = 0;
  std::string text;
  const bool readable = ParseJson(row.value, &doc) && JsonU64(doc, "revision", &revision) &&
                        JsonString(doc, "text", &text);
  if (!readable) {
    LogOnce("stored disruption policy is malformed; replacing it with the local one");
    Write(row.version);
    return;
  }
  if (revision < local_->revision) {
    Write(row.version);
    return;
  }
  if (revision == local_->revision && text != local_->text) {
    LogOnce("revision " + std::to_string(revision) +
            " of the disruption file differs from the stored policy; raise its revision");
  }
  if (in_force_ == nullptr || in_force_->text != text) {
    if (!Adopt(text)) return;
  }
  confirmed_at_ = requested_at;
}

bool PolicyReplicator::Adopt(const std::string& text) {
  if (text == local_->text) {
    in_force_ = local_;
  } else {
    auto policy = ReadAndCheckPolicy(text, *settings_);
    if (!policy.has_value()) {
      LogOnce("stored disruption policy rejected: " + DescribeError(policy.error()));
      return false;
    }
    in_force_ = std::make_shared<const DisruptionPolicy>(std::move(policy.value()));
  }
  spdlog::info("policy={} budgets={} drains={}: disruption policy in force", in_force_->revision,
               in_force_->budgets.size(), in_force_->drains.size());
  return true;
}

void PolicyReplicator::Write(uint64_t version) {
  Transaction transaction;
  transaction.preconditions.push_back({kKey, version});
  transaction.mutations.push_back({kKey, EncodePolicy(*local_), 0});
  call_in_flight_ = true;
  key_value_store_->Commit(transaction, [this](const KeyValueResponse& response) {
    call_in_flight_ = false;
    if (response.status == KeyValueStatus::kInvalid) {
      LogOnce("state service rejected the disruption policy as invalid");
      return;
    }
    // The stored policy is read again, whether the write succeeded or conflicted with another one.
    next_read_at_ = response.status == KeyValueStatus::kOk ? 0 : clock_->Now() + kRetryDelaySeconds;
  });
}

void PolicyReplicator::LogOnce(const std::string& message) {
  if (message == last_logged_error_) return;
  last_logged_error_ = message;
  spdlog::error("{}", message);
}

}  // namespace deckhall
