#pragma once

/// An in-memory table that can fail as the platform's table service can.

#include "store/SettingsStore.h"
#include <functional>
#include <map>
#include <utility>

namespace limpetpond {

/// Implements TableAccess. The test sets the faults.
struct TableFake {
    std::map<TableKey, TableItem> rows;
    bool isDown { false }; ///< While true, no call reaches the table.
    int lostAnswers { 0 }; ///< The number of next transactions that take effect but whose answers are lost.
    int lostRequests { 0 }; ///< The number of next transactions that are lost before they take effect; the caller gets NoAnswer as well.
    int readsUntilOutage { -1 }; ///< The number of reads until the table fails; negative for no outage.
    int transactions { 0 };
    std::function<void()> beforeTransaction; ///< Runs once, before the next transaction.
    std::function<void()> beforeHeadRead; ///< Runs once, before the next read of the version row.

    TableAccess access()
    {
        return {
            .get = [this](const TableKey& key) { return get(key); },
            .query = [this](const TableQuery& query) { return this->query(query); },
            .transact = [this](const std::vector<TableWrite>& writes) { return transact(writes); },
        };
    }

private:
    static boost::leaf::error_id failure(CallFailure failure)
    {
        return boost::leaf::new_error(CallError { .failure = failure, .detail = "fake" });
    }

    bool failsRead()
    {
        if (!readsUntilOutage)
            isDown = true;
        if (readsUntilOutage > 0)
            --readsUntilOutage;
        return isDown;
    }

    Result<std::optional<TableItem>> get(const TableKey& key)
    {
        if (failsRead())
            return failure(CallFailure::NotSent);
        if (beforeHeadRead && key.sort == "head")
            std::exchange(beforeHeadRead, nullptr)();
        auto row = rows.find(key);
        return row == rows.end() ? std::optional<TableItem>() : std::optional(row->second);
    }

    Result<std::vector<TableItem>> query(const TableQuery& query)
    {
        if (failsRead())
            return failure(CallFailure::NotSent);
        std::vector<TableItem> items;
        for (const auto& [key, item] : rows) {
            if (key.partition == query.partition && key.sort >= query.firstSort && (query.lastSort.empty() || key.sort <= query.lastSort))
                items.push_back(item);
        }
        return items;
    }

    bool holds(const TableWrite& write, const TableCondition& condition) const
    {
        auto row = rows.find(write.item.key);
        if (condition.kind == TableConditionKind::RowAbsent)
            return row == rows.end();
        if (condition.kind == TableConditionKind::RowPresent)
            return row != rows.end();
        if (row == rows.end())
            return false;
        for (const TableAttribute& attribute : row->second.attributes) {
            if (attribute.name == condition.attribute)
                return condition.kind == TableConditionKind::Equal ? attribute.value == condition.value : condition.kind == TableConditionKind::Less && attribute.value < condition.value;
        }
        return false;
    }

    Result<TransactionResult> transact(const std::vector<TableWrite>& writes)
    {
        ++transactions;
        if (beforeTransaction)
            std::exchange(beforeTransaction, nullptr)();
        if (isDown)
            return failure(CallFailure::NotSent);
        if (lostRequests > 0) {
            --lostRequests;
            return failure(CallFailure::NoAnswer);
        }
        TransactionResult result { .committed = true };
        for (const TableWrite& write : writes) {
            bool conditionsHold = std::all_of(write.conditions.begin(), write.conditions.end(), [&](const TableCondition& condition) { return holds(write, condition); });
            result.rows.push_back({ .reason = conditionsHold ? CancellationReason::None : CancellationReason::ConditionFailed });
            result.committed = result.committed && conditionsHold;
        }
        if (result.committed)
            apply(writes);
        if (lostAnswers > 0) {
            --lostAnswers;
            return failure(CallFailure::NoAnswer);
        }
        return result;
    }

    void apply(const std::vector<TableWrite>& writes)
    {
        for (const TableWrite& write : writes) {
            if (write.kind == TableWriteKind::Delete)
                rows.erase(write.item.key);
            if (write.kind == TableWriteKind::Put)
                rows[write.item.key] = write.item;
        }
    }
};

} // namespace limpetpond
