// Finds out why a transaction met a conflict, and reads the versions of all pages again.
//
// Only the leader of a term writes pages. A page whose version differs from the one last seen
// was written by an earlier transaction of this leader with an indeterminate outcome, executed
// after all; or the term is over.
//
// Resolve is called while no transaction is in flight: versions read earlier could be older than
// a commit. Owned by GroupCommit; must outlive a resolution that was started.
#pragma once

#include <functional>
#include <string>

#include "state/record_pages.h"

namespace deckhall {

// How the resolution of a conflict ended.
enum class ConflictOutcome {
  kVersionsRead,          // versions were read again, as far as the state service responded
  kLeaderKeyUnavailable,  // whether the term stands is not known; nothing was read
  kLeadershipLost,        // the leader key changed: the term is over
};

class ConflictResolver {
 public:
  // `leadership` holds as long as this leader's term.
  ConflictResolver(KeyValueStore* key_value_store, Precondition leadership, RecordPages* pages);

  using Done = std::function<void(ConflictOutcome outcome)>;
  // Reads the leader key, then the versions of all pages.
  void Resolve(Done done);
  // Sends no further request. `done` of a resolution that was started may not be called.
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
