#include "store/LeaseStore.h"

namespace limpetpond {

namespace {

    constexpr const char* leaseSort = "lease";
    constexpr const char* holderName = "holder";
    constexpr const char* numberName = "number";
    constexpr const char* renewalsName = "renewals";

    TableKey keyOf(const LeaseId& lease)
    {
        return { .partition = "lease#" + lease.value(), .sort = leaseSort };
    }

    TableItem itemOf(const LeaseRow& row)
    {
        TableItem item { .key = keyOf(row.id) };
        item.attributes = { { holderName, row.holder.value() },
            { numberName, static_cast<std::int64_t>(row.number.value()) },
            { renewalsName, static_cast<std::int64_t>(row.renewals) } };
        return item;
    }

    std::optional<LeaseRow> rowOf(const LeaseId& lease, const std::optional<TableItem>& item)
    {
        if (!item)
            return std::nullopt;
        LeaseRow row { .id = lease, .holder = InstanceId(textOf(*item, holderName)) };
        row.number = FencingNumber(static_cast<std::uint64_t>(numberOf(*item, numberName)));
        row.renewals = static_cast<std::uint64_t>(numberOf(*item, renewalsName));
        return row;
    }

    std::vector<TableCondition> conditionsOf(const std::optional<LeaseRow>& expected)
    {
        if (!expected)
            return { { .kind = TableConditionKind::RowAbsent } };
        const TableItem item = itemOf(*expected);
        std::vector<TableCondition> conditions;
        for (const TableAttribute& attribute : item.attributes)
            conditions.push_back({ TableConditionKind::Equal, attribute.name, attribute.value });
        return conditions;
    }

    Result<LeaseAnswered> readLease(TableClient& table, const AccessLease& access)
    {
        BOOST_LEAF_AUTO(item, table.get(keyOf(access.lease)));
        return LeaseAnswered { access.lease, access.step.operation, LeaseAnswer::Done, rowOf(access.lease, item) };
    }

    Result<LeaseAnswered> writeLease(TableClient& table, const AccessLease& access)
    {
        const TableWrite write { .item = itemOf(access.step.row), .conditions = conditionsOf(access.step.expected) };
        BOOST_LEAF_AUTO(result, table.transact({ write }));
        if (result.committed)
            return LeaseAnswered { access.lease, access.step.operation, LeaseAnswer::Done, access.step.row };
        const RowResult& row = result.rows.at(0);
        if (row.reason != CancellationReason::ConditionFailed)
            return LeaseAnswered { access.lease, access.step.operation, LeaseAnswer::NoAnswer, std::nullopt };
        return LeaseAnswered { access.lease, access.step.operation, LeaseAnswer::ConditionFailed, rowOf(access.lease, row.existing) };
    }

} // namespace

LeaseAnswered accessLease(TableClient& table, const AccessLease& access)
{
    LeaseAnswered unanswered { access.lease, access.step.operation, LeaseAnswer::NoAnswer, std::nullopt };
    return boost::leaf::try_handle_all(
        [&]() -> Result<LeaseAnswered> {
            return access.step.operation == LeaseOperation::Write ? writeLease(table, access) : readLease(table, access);
        },
        [&](const CallError&) { return unanswered; },
        [&] { return unanswered; });
}

} // namespace limpetpond
