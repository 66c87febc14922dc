#include "policy/request_history.h"

namespace flaxdoor {

void RequestHistory::record(std::uint64_t call_id, const PastExecution& execution, Time now) {
    drop_expired(now);
    if (!entries_.try_emplace(call_id, Entry{execution, now}).second) return;
    order_.push_back(call_id);
}

std::optional<PastExecution> RequestHistory::find(std::uint64_t call_id, Time now) const {
    const auto found = entries_.find(call_id);
    if (found == entries_.end() || now - found->second.recorded_at > retention) return std::nullopt;
    return found->second.execution;
}

// Makes room for one more entry.
void RequestHistory::drop_expired(Time now) {
    while (!order_.empty()) {
        const auto oldest = entries_.find(order_.front());
        if (order_.size() < max_entries && now - oldest->second.recorded_at <= retention) return;
        entries_.erase(oldest);
        order_.pop_front();
    }
}

}  // namespace flaxdoor
