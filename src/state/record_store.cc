#include "state/record_store.h"

#include <utility>

namespace deckhall {

RecordStore::RecordStore(KeyValueStore* key_value_store, const Clock* clock,
                         RecordStoreLimits limits, std::string leader_key, uint64_t term)
    : limits_(limits),
      pages_(clock, &limits_),
      loader_(key_value_store, &pages_),
      splitter_(&pages_, &limits_),
      group_commit_(key_value_store, clock, &limits_, {std::move(leader_key), term}, &pages_,
                    &splitter_,
                    {[this] {
                       if (on_commit) on_commit();
                     },
                     [this] {
                       if (on_leadership_lost) on_leadership_lost();
                     }}) {}

void RecordStore::Load(LoadCallback done) {
  loader_.Load([this, done = std::move(done)](bool is_complete) {
    std::vector<std::pair<RecordId, std::string>> records;
    if (is_complete) {
      for (RecordId i = 0; i < pages_.record_count(); ++i)
        records.emplace_back(i, pages_.record(i).text);
    }
    done(is_complete, std::move(records));
  });
}

RecordId RecordStore::Add(std::string text, size_t reserve_bytes, WritePriority priority) {
  return pages_.Add(std::move(text), reserve_bytes, priority);
}

void RecordStore::Update(RecordId record_id, std::string text, size_t reserve_bytes,
                         WritePriority priority) {
  pages_.Update(record_id, std::move(text), reserve_bytes, priority);
}

void RecordStore::Remove(RecordId record_id) { pages_.Remove(record_id); }

void RecordStore::Reserve(RecordId record_id, size_t reserve_bytes) {
  pages_.Reserve(record_id, reserve_bytes);
}

void RecordStore::SplitLargePages() { splitter_.ScheduleOversizedPages(); }

bool RecordStore::IsDurable(RecordId record_id) const {
  const StoredRecord& record = pages_.record(record_id);
  return !record.dirty && !record.in_flight;
}

}  // namespace deckhall
