#include "state/page_loader.h"

#include <utility>

namespace deckhall {

void PageLoader::Load(Done done) {
  // An earlier load may have failed half-way; without this its pages would be added twice.
  pages_->Clear();
  LoadPagesAfter("", std::move(done));
}

void PageLoader::LoadPagesAfter(const std::string& after_key, Done done) {
  key_value_store_->List(std::string(kPageKeyPrefix), after_key,
                         [this, done = std::move(done)](const KeyValueResponse& response) {
                           HandleListResponse(response, done);
                         });
}

void PageLoader::HandleListResponse(const KeyValueResponse& response, const Done& done) {
  if (response.status != KeyValueStatus::kOk) {
    done(false);
    return;
  }
  for (const KeyValue& entry : response.entries) pages_->AddStoredPage(entry);
  if (response.truncated && !response.entries.empty()) {
    LoadPagesAfter(response.entries.back().key, done);
    return;
  }
  done(true);
}

}  // namespace deckhall
