// Maps names to dense indices.
//
// The control code compares and stores only indices; names are translated where messages and
// records are decoded. Indices are not persisted: each leader assigns its own.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace deckhall {

using JobIndex = uint32_t;      // into JobStore
using MachineIndex = uint32_t;  // into Fleet
constexpr uint32_t kNoIndex = UINT32_MAX;

// Maps each name to an index and back. Indices are assigned from 0 in order of first appearance;
// a name keeps its index for the life of this object.
class NameIndex {
 public:
  // Returns the index of `name`; assigns one if the name is new.
  uint32_t Add(const std::string& name) {
    auto [entry, inserted] = index_.emplace(name, static_cast<uint32_t>(names_.size()));
    if (inserted) names_.push_back(name);
    return entry->second;
  }
  // Returns the index of `name`, or kNoIndex if it was never added.
  uint32_t Find(const std::string& name) const {
    auto entry = index_.find(name);
    return entry == index_.end() ? kNoIndex : entry->second;
  }
  // Returns the name at `index`, which must be less than size().
  const std::string& operator[](uint32_t index) const { return names_[index]; }
  uint32_t size() const { return static_cast<uint32_t>(names_.size()); }

 private:
  std::unordered_map<std::string, uint32_t> index_;
  std::vector<std::string> names_;
};

}  // namespace deckhall
