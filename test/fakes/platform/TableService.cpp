#include "test/fakes/platform/TableService.h"

#include <charconv>
#include <sstream>
#include <vector>

namespace limpetpond::fakes {

namespace {

    const json::object emptyObject;

    const json::object& objectIn(const json::object& object, json::string_view name)
    {
        const json::value* value = object.if_contains(name);
        return value && value->is_object() ? value->get_object() : emptyObject;
    }

    std::string keyPart(const json::object& item, json::string_view name)
    {
        return textIn(objectIn(item, name), "S");
    }

    std::pair<std::string, std::string> keyOf(const json::object& item)
    {
        return { keyPart(item, "pk"), keyPart(item, "sk") };
    }

    std::int64_t numberOf(const json::object& typed)
    {
        std::string text = textIn(typed, "N");
        std::int64_t out = 0;
        std::from_chars(text.data(), text.data() + text.size(), out);
        return out;
    }

    bool isLess(const json::object& a, const json::object& b)
    {
        if (a.contains("N") && b.contains("N"))
            return numberOf(a) < numberOf(b);
        return a.contains("S") && b.contains("S") && textIn(a, "S") < textIn(b, "S");
    }

    // One term of a condition, such as "#a0 = :v0" or "attribute_exists(pk)".
    struct Term {
        std::string left;
        std::string operation;
        std::string right;
    };

    std::vector<Term> termsOf(const std::string& expression)
    {
        std::vector<Term> terms(1);
        std::istringstream words(expression);
        std::string word;
        while (words >> word) {
            Term& term = terms.back();
            if (word == "AND")
                terms.emplace_back();
            else if (term.left.empty())
                term.left = word;
            else if (term.operation.empty())
                term.operation = word;
            else
                term.right = word;
        }
        return terms;
    }

    bool isTrue(const Term& term, const json::object* row, const json::object& operation)
    {
        if (term.left == "attribute_not_exists(pk)")
            return !row;
        if (term.left == "attribute_exists(pk)")
            return row;
        std::string name = textIn(objectIn(operation, "ExpressionAttributeNames"), term.left, term.left);
        const json::object& wanted = objectIn(objectIn(operation, "ExpressionAttributeValues"), term.right);
        const json::object& stored = row ? objectIn(*row, name) : emptyObject;
        if (term.operation == "=")
            return !stored.empty() && stored == wanted;
        if (term.operation == "<>")
            return stored != wanted;
        return term.operation == "<" && !stored.empty() && isLess(stored, wanted);
    }

    const json::object& operationOf(const json::object& item)
    {
        return item.begin()->value().get_object();
    }

    json::object keyObject(const std::pair<std::string, std::string>& key)
    {
        return { { "pk", json::object { { "S", key.first } } }, { "sk", json::object { { "S", key.second } } } };
    }

    bool isTransactItem(const json::value& value)
    {
        if (!value.is_object() || value.get_object().size() != 1)
            return false;
        json::string_view kind = value.get_object().begin()->key();
        bool known = kind == "Put" || kind == "Delete" || kind == "ConditionCheck";
        return known && value.get_object().begin()->value().is_object();
    }

    std::pair<std::string, std::string> rowKeyOf(const json::object& operation)
    {
        return keyOf(objectIn(operation, operation.contains("Item") ? "Item" : "Key"));
    }

} // namespace

TableReply tableError(std::string_view type, int status)
{
    std::string name = "com.amazonaws.dynamodb.v20120810#" + std::string(type);
    return { status, { { "__type", name }, { "message", std::string(type) } } };
}

TableReply TableService::execute(std::string_view operation, const json::object& request)
{
    std::lock_guard lock(m_mutex);
    if (operation == "GetItem")
        return get(request);
    if (operation == "Query")
        return query(request);
    if (operation == "TransactWriteItems")
        return transact(request);
    return tableError("UnknownOperationException");
}

TableReply TableService::get(const json::object& request)
{
    ++m_reads;
    const Table& table = m_tables[textIn(request, "TableName")];
    auto found = table.find(keyOf(objectIn(request, "Key")));
    if (found == table.end())
        return {};
    return { 200, { { "Item", found->second } } };
}

TableReply TableService::query(const json::object& request)
{
    constexpr std::size_t pageRows = 100;
    ++m_reads;
    const Table& table = m_tables[textIn(request, "TableName")];
    const json::object& values = objectIn(request, "ExpressionAttributeValues");
    std::string partition = keyPart(values, ":p");
    std::string first = keyPart(values, ":first");
    std::string last = keyPart(values, ":last");
    auto limit = static_cast<std::size_t>(numberIn(request, "Limit", pageRows));
    std::size_t maxItems = std::min(limit, pageRows);

    auto row = table.lower_bound({ partition, first });
    if (request.contains("ExclusiveStartKey"))
        row = table.upper_bound(keyOf(objectIn(request, "ExclusiveStartKey")));
    json::array items;
    json::object body;
    for (; row != table.end() && row->first.first == partition; ++row) {
        if (!last.empty() && row->first.second > last)
            break;
        if (items.size() == maxItems) {
            body["LastEvaluatedKey"] = keyObject(std::prev(row)->first);
            break;
        }
        items.push_back(row->second);
    }
    body["Items"] = std::move(items);
    return { 200, std::move(body) };
}

TableReply TableService::transact(const json::object& request)
{
    constexpr std::size_t maxWrites = 100;
    const json::value* list = request.if_contains("TransactItems");
    if (!list || !list->is_array() || list->get_array().empty() || list->get_array().size() > maxWrites)
        return tableError("ValidationException");
    std::set<RowKey> keys;
    for (const json::value& item : list->get_array()) {
        if (!isTransactItem(item) || !keys.insert(rowKeyOf(operationOf(item.get_object()))).second)
            return tableError("ValidationException");
    }
    std::string token = textIn(request, "ClientRequestToken");
    if (!token.empty() && m_committedTokens.contains(token))
        return {};

    bool fails = false;
    json::array reasons;
    for (const json::value& item : list->get_array()) {
        json::object reason = cancellationReason(operationOf(item.get_object()));
        fails = fails || reason["Code"].get_string() != "None";
        reasons.emplace_back(std::move(reason));
    }
    if (fails) {
        ++m_cancelled;
        TableReply reply = tableError("TransactionCanceledException");
        reply.body["CancellationReasons"] = std::move(reasons);
        return reply;
    }
    for (const json::value& item : list->get_array())
        apply(item.get_object());
    ++m_commits;
    if (!token.empty())
        m_committedTokens.insert(token);
    return {};
}

json::object TableService::cancellationReason(const json::object& operation) const
{
    json::object reason { { "Code", "None" } };
    std::string expression = textIn(operation, "ConditionExpression");
    if (expression.empty())
        return reason;
    const json::object* row = nullptr;
    if (auto table = m_tables.find(textIn(operation, "TableName")); table != m_tables.end()) {
        auto found = table->second.find(rowKeyOf(operation));
        row = found == table->second.end() ? nullptr : &found->second;
    }
    for (const Term& term : termsOf(expression)) {
        if (isTrue(term, row, operation))
            continue;
        reason["Code"] = "ConditionalCheckFailed";
        if (row && textIn(operation, "ReturnValuesOnConditionCheckFailure") == "ALL_OLD")
            reason["Item"] = *row;
        break;
    }
    return reason;
}

void TableService::apply(const json::object& item)
{
    const json::object& operation = operationOf(item);
    Table& table = m_tables[textIn(operation, "TableName")];
    if (item.contains("Put"))
        table[rowKeyOf(operation)] = objectIn(operation, "Item");
    if (item.contains("Delete"))
        table.erase(rowKeyOf(operation));
    m_rowsWritten += item.contains("ConditionCheck") ? 0 : 1;
}

void TableService::saveSnapshot()
{
    std::lock_guard lock(m_mutex);
    m_snapshot = m_tables;
}

void TableService::restoreSnapshot()
{
    std::lock_guard lock(m_mutex);
    m_tables = m_snapshot;
}

json::array TableService::rows(const std::string& partitionPrefix)
{
    std::lock_guard lock(m_mutex);
    json::array out;
    for (const auto& [name, table] : m_tables) {
        for (const auto& [key, row] : table) {
            if (key.first.starts_with(partitionPrefix))
                out.push_back(row);
        }
    }
    return out;
}

json::object TableService::counts()
{
    std::lock_guard lock(m_mutex);
    return { { "reads", m_reads }, { "commits", m_commits }, { "cancelled", m_cancelled }, { "rows_written", m_rowsWritten } };
}

} // namespace limpetpond::fakes
