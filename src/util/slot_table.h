// A table of records that can be looked up by id or by slot.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace flaxdoor::util {

// Slots are small indices. Slots are reused together with their records: insert() leaves the record in the
// state in which the slot's last user left it. References to records are valid until the next insert().
template <typename Record>
class SlotTable {
public:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    // Returns the slot for a new id, which must not be in the table.
    std::size_t insert(std::uint64_t id) {
        std::size_t slot = records_.size();
        if (free_.empty()) {
            records_.emplace_back();
        } else {
            slot = free_.back();
            free_.pop_back();
        }
        by_id_.emplace(id, slot);
        return slot;
    }

    // Returns the slot of an id, or `none`.
    std::size_t find(std::uint64_t id) const {
        const auto found = by_id_.find(id);
        return found == by_id_.end() ? none : found->second;
    }

    void erase(std::uint64_t id) {
        const auto found = by_id_.find(id);
        if (found == by_id_.end()) return;
        free_.push_back(found->second);
        by_id_.erase(found);
    }

    Record& operator[](std::size_t slot) { return records_[slot]; }
    const Record& operator[](std::size_t slot) const { return records_[slot]; }

    // Returns the number of slots, in use or free.
    std::size_t size() const { return records_.size(); }

private:
    std::vector<Record> records_;
    std::vector<std::size_t> free_;
    std::unordered_map<std::uint64_t, std::size_t> by_id_;
};

}  // namespace flaxdoor::util
