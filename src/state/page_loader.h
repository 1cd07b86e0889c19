// Reads all pages of the record store from the state service.
//
// Guarantees: on success, RecordPages holds every stored page with the version at which it was
// read. Owned by RecordStore; responses must not arrive after its destruction
// (ScopedKeyValueStore).
#pragma once

#include <functional>
#include <string>

#include "state/key_value_store.h"
#include "state/record_pages.h"

namespace deckhall {

class PageLoader {
 public:
  PageLoader(KeyValueStore* key_value_store, RecordPages* pages)
      : key_value_store_(key_value_store), pages_(pages) {}

  // Replaces the contents of `pages`. Calls `done(false)` if a read failed and pages may be
  // missing.
  using Done = std::function<void(bool is_complete)>;
  void Load(Done done);

 private:
  void LoadPagesAfter(const std::string& after_key, Done done);
  void HandleListResponse(const KeyValueResponse& response, const Done& done);

  KeyValueStore* key_value_store_;
  RecordPages* pages_;
};

}  // namespace deckhall
