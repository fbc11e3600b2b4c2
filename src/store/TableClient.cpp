#include "store/TableClient.h"

#include <boost/json.hpp>
#include <charconv>

namespace limpetpond {

namespace {

    namespace json = boost::json;

    constexpr std::string_view partitionName = "pk";
    constexpr std::string_view sortName = "sk";
    constexpr std::string_view targetPrefix = "DynamoDB_20120810.";

    auto malformed(std::string detail)
    {
        return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::move(detail) });
    }

    json::value textValue(const std::string& text)
    {
        return json::object { { "S", text } };
    }

    json::value toJson(const TableValue& value)
    {
        if (const auto* text = std::get_if<std::string>(&value))
            return textValue(*text);
        return json::object { { "N", std::to_string(std::get<std::int64_t>(value)) } };
    }

    json::object toJson(const TableKey& key)
    {
        return { { partitionName, textValue(key.partition) }, { sortName, textValue(key.sort) } };
    }

    json::object toJson(const TableItem& item)
    {
        json::object out = toJson(item.key);
        for (const TableAttribute& attribute : item.attributes)
            out[attribute.name] = toJson(attribute.value);
        return out;
    }

    Result<TableValue> valueOf(const json::value& typed)
    {
        const json::object* object = typed.if_object();
        if (!object || object->size() != 1 || !object->begin()->value().is_string())
            return malformed("an attribute must have one type and a text value");
        const json::string& text = object->begin()->value().get_string();
        if (object->begin()->key() == "S")
            return TableValue(std::string(text));
        std::int64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (object->begin()->key() != "N" || error != std::errc() || end != text.data() + text.size())
            return malformed("an attribute must be text or a whole number");
        return TableValue(number);
    }

    Result<TableItem> itemOf(const json::value& value)
    {
        const json::object* object = value.if_object();
        if (!object)
            return malformed("an item must be an object");
        TableItem item;
        for (const auto& member : *object) {
            BOOST_LEAF_ASSIGN(TableValue typed, valueOf(member.value()));
            std::string name(member.key());
            const auto* text = std::get_if<std::string>(&typed);
            if (name == partitionName && text)
                item.key.partition = *text;
            else if (name == sortName && text)
                item.key.sort = *text;
            else
                item.attributes.push_back({ std::move(name), std::move(typed) });
        }
        return item;
    }

    // Builds the condition expression of one write, with placeholders for names and values.
    class ConditionExpressionBuilder {
    public:
        explicit ConditionExpressionBuilder(const std::vector<TableCondition>& conditions)
        {
            for (const TableCondition& condition : conditions)
                add(condition);
        }

        void writeTo(json::object& operation) const
        {
            if (m_text.empty())
                return;
            operation["ConditionExpression"] = m_text;
            operation["ReturnValuesOnConditionCheckFailure"] = "ALL_OLD";
            if (!m_names.empty())
                operation["ExpressionAttributeNames"] = m_names;
            if (!m_values.empty())
                operation["ExpressionAttributeValues"] = m_values;
        }

    private:
        void add(const TableCondition& condition)
        {
            if (!m_text.empty())
                m_text += " AND ";
            switch (condition.kind) {
            case TableConditionKind::RowAbsent:
                m_text += "attribute_not_exists(pk)";
                return;
            case TableConditionKind::RowPresent:
                m_text += "attribute_exists(pk)";
                return;
            case TableConditionKind::Equal:
                return compare(condition, " = ");
            case TableConditionKind::NotEqual:
                return compare(condition, " <> ");
            case TableConditionKind::Less:
                return compare(condition, " < ");
            }
        }

        void compare(const TableCondition& condition, std::string_view operation)
        {
            std::string number = std::to_string(m_values.size());
            m_names["#a" + number] = condition.attribute;
            m_values[":v" + number] = toJson(condition.value);
            m_text += "#a" + number;
            m_text += operation;
            m_text += ":v" + number;
        }

        std::string m_text;
        json::object m_names;
        json::object m_values;
    };

    json::object toJson(const TableWrite& write, const std::string& table)
    {
        json::object operation { { "TableName", table } };
        if (write.kind == TableWriteKind::Put)
            operation["Item"] = toJson(write.item);
        else
            operation["Key"] = toJson(write.item.key);
        ConditionExpressionBuilder(write.conditions).writeTo(operation);
        switch (write.kind) {
        case TableWriteKind::Put:
            return { { "Put", std::move(operation) } };
        case TableWriteKind::Delete:
            return { { "Delete", std::move(operation) } };
        case TableWriteKind::Check:
            break;
        }
        return { { "ConditionCheck", std::move(operation) } };
    }

    CancellationReason cancellationReasonOf(std::string_view code)
    {
        if (code == "None")
            return CancellationReason::None;
        if (code == "ConditionalCheckFailed")
            return CancellationReason::ConditionFailed;
        if (code == "TransactionConflict")
            return CancellationReason::Conflict;
        return CancellationReason::Throttled;
    }

    Result<RowResult> rowResultOf(const json::value& reason)
    {
        const json::object* object = reason.if_object();
        const json::value* code = object ? object->if_contains("Code") : nullptr;
        if (!code || !code->is_string())
            return malformed("a cancellation reason has no code");
        RowResult row { .reason = cancellationReasonOf(std::string_view(code->get_string())) };
        const json::value* item = object->if_contains("Item");
        if (item && !item->get_object().empty()) {
            BOOST_LEAF_ASSIGN(row.existing, itemOf(*item));
        }
        return row;
    }

    Result<TransactionResult> cancelledResult(const json::object& answer, std::size_t writes)
    {
        const json::value* reasons = answer.if_contains("CancellationReasons");
        if (!reasons || !reasons->is_array() || reasons->get_array().size() != writes)
            return malformed("a cancelled transaction must give a reason for each write");
        TransactionResult result;
        for (const json::value& reason : reasons->get_array()) {
            BOOST_LEAF_ASSIGN(RowResult row, rowResultOf(reason));
            result.rows.push_back(std::move(row));
        }
        return result;
    }

    Result<json::object> parseObject(const std::string& text)
    {
        boost::system::error_code error;
        json::value value = json::parse(text, error);
        if (error || !value.is_object())
            return malformed("the answer of the table service is not a JSON object");
        return std::move(value.get_object());
    }

    // The error name without its namespace, such as ThrottlingException; empty when the answer has none.
    std::string errorType(const json::object& answer)
    {
        const json::value* type = answer.if_contains("__type");
        if (!type || !type->is_string())
            return {};
        std::string name(type->get_string());
        return name.substr(name.find('#') + 1);
    }

    bool isThrottling(const std::string& type)
    {
        return type == "ThrottlingException" || type == "ProvisionedThroughputExceededException" || type == "RequestLimitExceeded";
    }

    CallError errorOf(const HttpResponse& answer, const std::string& type)
    {
        CallError error { .failure = CallFailure::Refused, .status = answer.status, .detail = type };
        if (isThrottling(type))
            error.failure = CallFailure::Throttled;
        else if (answer.status >= 500 || type == "TransactionInProgressException")
            error.failure = CallFailure::NoAnswer;
        return error;
    }

    constexpr std::string_view transactionCancelledType = "TransactionCanceledException";

} // namespace

std::string textOf(const TableItem& item, std::string_view name)
{
    for (const TableAttribute& attribute : item.attributes) {
        const auto* text = std::get_if<std::string>(&attribute.value);
        if (text && attribute.name == name)
            return *text;
    }
    return {};
}

std::int64_t numberOf(const TableItem& item, std::string_view name, std::int64_t fallback)
{
    for (const TableAttribute& attribute : item.attributes) {
        const auto* number = std::get_if<std::int64_t>(&attribute.value);
        if (number && attribute.name == name)
            return *number;
    }
    return fallback;
}

TableClient::TableClient(TableClientOptions options)
    : m_table(std::move(options.table))
    , m_pool(std::move(options.endpoint), options.timeouts)
{
}

Result<std::string> TableClient::post(std::string_view operation, std::string body)
{
    HttpRequest request { .method = "POST", .path = "/", .contentType = "application/x-amz-json-1.0", .body = std::move(body) };
    request.headers = { { "X-Amz-Target", std::string(targetPrefix) + std::string(operation) } };
    BOOST_LEAF_ASSIGN(HttpResponse answer, m_pool.call(request));
    if (answer.status == 200)
        return std::move(answer.body);
    Result<json::object> object = parseObject(answer.body);
    std::string type = object ? errorType(*object) : std::string();
    if (answer.status == 400 && type == transactionCancelledType)
        return std::move(answer.body);
    return boost::leaf::new_error(errorOf(answer, type));
}

Result<std::optional<TableItem>> TableClient::get(const TableKey& key)
{
    json::object body { { "TableName", m_table }, { "ConsistentRead", true }, { "Key", toJson(key) } };
    BOOST_LEAF_ASSIGN(std::string text, post("GetItem", json::serialize(body)));
    BOOST_LEAF_ASSIGN(json::object answer, parseObject(text));
    const json::value* item = answer.if_contains("Item");
    if (!item)
        return std::optional<TableItem>();
    BOOST_LEAF_ASSIGN(TableItem read, itemOf(*item));
    return std::optional(std::move(read));
}

Result<std::vector<TableItem>> TableClient::query(const TableQuery& query)
{
    std::string condition = "pk = :p AND sk >= :first";
    json::object values { { ":p", textValue(query.partition) }, { ":first", textValue(query.firstSort) } };
    if (query.firstSort.empty()) {
        condition = "pk = :p";
        values.erase(":first");
    }
    if (!query.lastSort.empty()) {
        condition = "pk = :p AND sk BETWEEN :first AND :last";
        // BETWEEN needs a lower bound. A sort key is never empty, so the smallest possible key admits every row.
        values[":first"] = textValue(query.firstSort.empty() ? std::string(1, '\x01') : query.firstSort);
        values[":last"] = textValue(query.lastSort);
    }
    json::object body { { "TableName", m_table }, { "ConsistentRead", true }, { "KeyConditionExpression", condition }, { "ExpressionAttributeValues", std::move(values) } };

    std::vector<TableItem> items;
    while (true) {
        if (query.limit)
            body["Limit"] = query.limit - static_cast<int>(items.size());
        BOOST_LEAF_ASSIGN(std::string text, post("Query", json::serialize(body)));
        BOOST_LEAF_ASSIGN(json::object answer, parseObject(text));
        const json::value* list = answer.if_contains("Items");
        if (!list || !list->is_array())
            return malformed("the answer to a query has no items");
        for (const json::value& value : list->get_array()) {
            BOOST_LEAF_ASSIGN(TableItem item, itemOf(value));
            items.push_back(std::move(item));
        }
        const json::value* next = answer.if_contains("LastEvaluatedKey");
        bool full = query.limit && static_cast<int>(items.size()) >= query.limit;
        if (!next || full)
            return items;
        body["ExclusiveStartKey"] = *next;
    }
}

Result<TransactionResult> TableClient::transact(const std::vector<TableWrite>& writes, const std::string& token)
{
    json::array operations;
    for (const TableWrite& write : writes)
        operations.push_back(toJson(write, m_table));
    json::object body { { "TransactItems", std::move(operations) } };
    if (!token.empty())
        body["ClientRequestToken"] = token;
    BOOST_LEAF_ASSIGN(std::string text, post("TransactWriteItems", json::serialize(body)));
    BOOST_LEAF_ASSIGN(json::object answer, parseObject(text));
    if (errorType(answer) == transactionCancelledType)
        return cancelledResult(answer, writes.size());
    return TransactionResult { .committed = true };
}

} // namespace limpetpond
