// Determines why a transaction failed with a conflict, and reads the versions of all pages again.
//
// Only the leader of a term writes pages. If a page's version differs from the one last seen, then
// either an earlier transaction of this leader, whose outcome was indeterminate, was executed after
// all, or the term has ended.
//
// Resolve must be called while no transaction is in flight; otherwise the versions it reads could
// be older than a commit. Owned by GroupCommit; responses must not arrive after its destruction
// (ScopedKeyValueStore).
#pragma once

#include <functional>
#include <string>

#include "state/record_pages.h"

namespace deckhall {

// The outcome of resolving a conflict.
enum class ConflictOutcome {
  kVersionsRead,          // versions were read again, possibly not all of them
  kLeaderKeyUnavailable,  // whether the term has ended is unknown; no versions were read
  kLeadershipLost,        // the leader key changed: the term has ended
};

class ConflictResolver {
 public:
  // `leadership` is the precondition that holds during this leader's term.
  ConflictResolver(KeyValueStore* key_value_store, Precondition leadership, RecordPages* pages);

  using Done = std::function<void(ConflictOutcome outcome)>;
  // Reads the leader key, then the versions of all pages.
  void Resolve(Done done);
  // Sends no further requests. Afterwards, `done` of a started resolution may not be called.
  void Stop() { is_stopped_ = true; }

 private:
  void HandleLeaderKeyResponse(const KeyValueResponse& response, Done done);
  void ReadVersionsAfter(const std::string& after_key, Done done);
  void HandleVersionsResponse(const KeyValueResponse& response, const Done& done);
  void UpdateVersion(const KeyValue& entry);

  KeyValueStore* key_value_store_;
  Precondition leadership_;
  RecordPages* pages_;
  bool is_stopped_ = false;
};

}  // namespace deckhall
