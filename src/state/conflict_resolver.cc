#include "state/conflict_resolver.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace deckhall {

ConflictResolver::ConflictResolver(KeyValueStore* key_value_store, Precondition leadership,
                                   RecordPages* pages)
    : key_value_store_(key_value_store), leadership_(std::move(leadership)), pages_(pages) {}

void ConflictResolver::Resolve(Done done) {
  key_value_store_->Get(leadership_.key,
                        [this, done = std::move(done)](const KeyValueResponse& response) {
                          HandleLeaderKeyResponse(response, done);
                        });
}

void ConflictResolver::HandleLeaderKeyResponse(const KeyValueResponse& response, Done done) {
  if (is_stopped_) return;
  if (response.status != KeyValueStatus::kOk) {
    done(ConflictOutcome::kLeaderKeyUnavailable);
    return;
  }
  if (!response.found || response.entries[0].version != leadership_.version) {
    spdlog::warn("term={}: leader key changed, leadership lost", leadership_.version);
    done(ConflictOutcome::kLeadershipLost);
    return;
  }
  ReadVersionsAfter("", std::move(done));
}

void ConflictResolver::ReadVersionsAfter(const std::string& after_key, Done done) {
  key_value_store_->List(std::string(kPageKeyPrefix), after_key,
                         [this, done = std::move(done)](const KeyValueResponse& response) {
                           HandleVersionsResponse(response, done);
                         });
}

void ConflictResolver::HandleVersionsResponse(const KeyValueResponse& response, const Done& done) {
  if (response.status == KeyValueStatus::kOk) {
    for (const KeyValue& entry : response.entries) UpdateVersion(entry);
    if (response.truncated && !response.entries.empty() && !is_stopped_) {
      ReadVersionsAfter(response.entries.back().key, done);
      return;
    }
  }
  // If a read failed, some versions are still outdated: the next commit fails with another
  // conflict.
  done(ConflictOutcome::kVersionsRead);
}

void ConflictResolver::UpdateVersion(const KeyValue& entry) {
  for (RecordPage& page : pages_->pages()) {
    if (page.key == entry.key) page.version = entry.version;
  }
}

}  // namespace deckhall
