#pragma once

/// Writes rows of the platform's store in transactions that hold only while one row is as it was read.
///
/// A write that gets no answer may have been performed, or may still be performed later if its condition holds then. So the
/// row is read back. If it is unchanged, the caller can write again under the same condition: at most one of the writes is performed.

#include "gateway/TimedHttpCall.h"
#include "limpetpond/Clock.h"
#include "platform/StoreCalls.h"
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// How a conditional write has ended.
struct ConditionalWriteResult {
    enum class Outcome {
        Written, ///< All rows have been written.
        ReadBack, ///< Not known to be written; `row` is the condition's row as it is now.
        Unknown, ///< Neither the write nor the read had a valid answer.
    };
    Outcome outcome { Outcome::Unknown };
    platform::Row row; ///< Its version is that to be stated in the next condition. Without a value after `Written`.
    std::optional<StoreEpoch> epoch; ///< Of the last answer, if it states one.
    std::string failure; ///< Why the write wasn't acknowledged; empty if it was.
};

struct ConditionalWrite {
    platform::RowCondition condition;
    std::vector<platform::RowWrite> writes; ///< The condition's row is one of them. None to read that row only.
    std::function<void(const ConditionalWriteResult&)> onDone;
};

/// Makes one call at a time, in the order of the requests.
class ConditionalWriter {
public:
    ConditionalWriter(boost::asio::io_context&, const Clock&, boost::asio::ip::tcp::endpoint store);

    /// Starts the write once those before it have ended. `onDone` is called once for each write; no write is retried.
    void write(ConditionalWrite);

    /// Ends a call that has timed out. Call it several times a second.
    void tick(SteadyTime now) { m_call.tick(now); }

private:
    void callNext();
    void readBack();
    void onCallDone(const TimedHttpCallResult&);
    void finish(const ConditionalWriteResult&);

    boost::asio::ip::tcp::endpoint m_store;
    TimedHttpCall m_call;
    std::deque<ConditionalWrite> m_pending; ///< The first one is in progress.
    std::string m_failure; ///< Of the write in progress.
    bool m_isReadingBack { false };
};

} // namespace limpetpond
