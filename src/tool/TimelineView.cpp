#include "tool/TimelineView.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ctime>
#include <map>
#include <tuple>

namespace limpetpond::tool {

namespace detail {

    namespace {

        namespace json = boost::json;

        // The HTML page before and after the JSON of the events.
        constexpr std::string_view pageBegin = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>limpetpond time line</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:1em;color:#222;background:#fff}
header{display:flex;gap:.6em;flex-wrap:wrap;align-items:center;margin-bottom:.6em}
h1{font-size:1.1em;margin:0 1em 0 0}
input{font:inherit;padding:.2em .4em;width:13em}
button{font:inherit;padding:.2em .7em}
#chart{border:1px solid #bbb;width:100%;display:block;cursor:crosshair}
table{border-collapse:collapse;width:100%;margin-top:.6em;font-size:13px}
th,td{text-align:left;padding:.15em .5em;border-bottom:1px solid #e5e5e5;vertical-align:top;white-space:nowrap}
td.fields{white-space:normal;word-break:break-word}
tr:hover{background:#f2f6ff}
td a{cursor:pointer;color:#0645ad}
#note{color:#555}
</style></head><body>
<header><h1>limpetpond time line</h1>
<label>request <input id="request"></label><label>target <input id="target"></label><label>instance <input id="instance"></label>
<button id="in">zoom in</button><button id="out">zoom out</button><button id="left">&larr;</button><button id="right">&rarr;</button><button id="all">show all</button>
<span id="note"></span></header>
<svg id="chart" xmlns="http://www.w3.org/2000/svg"></svg>
<table><thead><tr><th>time (UTC)</th><th>instance</th><th>event</th><th>request</th><th>target</th><th>fields</th></tr></thead><tbody id="rows"></tbody></table>
<script>
const events=)html";

        constexpr std::string_view pageEnd = R"html(;
const maxRows=2000,laneHeight=34,labelWidth=110,axisHeight=22;
const byId=id=>document.getElementById(id);
const params=new URLSearchParams(location.hash.slice(1));
for(const id of['request','target','instance']){byId(id).value=params.get(id)||'';byId(id).oninput=draw;}
const times=events.map(e=>e.t),first=times.length?Math.min(...times.slice(0,1),times.reduce((a,b)=>Math.min(a,b),Infinity)):0;
const last=times.reduce((a,b)=>Math.max(a,b),first+1);
let from=first,to=last;
const colours=['#1b6ca8','#b5482a','#3c7a3c','#7a3c8f','#8a6d00','#00767a','#a83268','#555'];
const kinds=[...new Set(events.map(e=>e.kind))];
const colourOf=kind=>colours[kinds.indexOf(kind)%colours.length];
const timeText=t=>new Date(t/1000).toISOString().slice(11,-1)+String(Math.round(t%1000)).padStart(3,'0');
function matches(e){const r=byId('request').value,t=byId('target').value,i=byId('instance').value;
return(!r||e.request.includes(r))&&(!t||e.target.includes(t))&&(!i||e.process.includes(i));}
function zoom(factor,centre){const middle=centre??(from+to)/2,half=Math.max((to-from)*factor/2,1);from=middle-half;to=middle+half;draw();}
function pan(share){const step=(to-from)*share;from+=step;to+=step;draw();}
byId('in').onclick=()=>zoom(.5);byId('out').onclick=()=>zoom(2);byId('left').onclick=()=>pan(-.5);byId('right').onclick=()=>pan(.5);
byId('all').onclick=()=>{from=first;to=last;draw();};
const chart=byId('chart');
chart.onwheel=w=>{w.preventDefault();const width=chart.clientWidth-labelWidth;zoom(w.deltaY<0?.7:1.4,from+(to-from)*Math.max(0,w.offsetX-labelWidth)/width);};
function node(name,attributes,text){const n=document.createElementNS('http://www.w3.org/2000/svg',name);for(const k in attributes)n.setAttribute(k,attributes[k]);if(text!==undefined)n.textContent=text;return n;}
function draw(){
const chosen=events.filter(matches),shown=chosen.filter(e=>e.t>=from&&e.t<=to);
const lanes=[...new Set(chosen.map(e=>e.process))].sort(),width=Math.max(chart.clientWidth,400),height=lanes.length*laneHeight+axisHeight;
chart.setAttribute('height',height);chart.replaceChildren();
const x=t=>labelWidth+(t-from)/(to-from)*(width-labelWidth-10);
for(let i=0;i<=6;i++){const t=from+(to-from)*i/6,at=x(t);chart.append(node('line',{x1:at,x2:at,y1:0,y2:height-axisHeight,stroke:'#eee'}),node('text',{x:at,y:height-6,'font-size':11,'text-anchor':i==6?'end':'middle',fill:'#555'},timeText(t).slice(0,12)));}
lanes.forEach((lane,i)=>{const y=i*laneHeight+laneHeight/2;chart.append(node('line',{x1:labelWidth,x2:width,y1:y,y2:y,stroke:'#ccc'}),node('text',{x:6,y:y+4,'font-size':12},lane));});
const previous=new Map();
for(const e of shown){const at=x(e.t),y=lanes.indexOf(e.process)*laneHeight+laneHeight/2;
if(e.request&&previous.has(e.request)){const p=previous.get(e.request);if(byId('request').value||p.y!==y)chart.append(node('line',{x1:p.at,y1:p.y,x2:at,y2:y,stroke:'#999','stroke-width':1}));}
if(e.request)previous.set(e.request,{at,y});
const dot=node('circle',{cx:at,cy:y,r:4,fill:colourOf(e.kind),'fill-opacity':.8});dot.append(node('title',{},timeText(e.t)+' '+e.process+' '+e.kind+' '+e.request+' '+e.target+' '+JSON.stringify(e.fields)));
if(e.request)dot.onclick=()=>{byId('request').value=e.request;draw();};chart.append(dot);}
const rows=byId('rows');rows.replaceChildren();
for(const e of shown.slice(0,maxRows)){const row=document.createElement('tr');
for(const text of[timeText(e.t),e.process,e.kind]){const c=document.createElement('td');c.textContent=text;row.append(c);}
for(const id of['request','target']){const c=document.createElement('td'),a=document.createElement('a');a.textContent=e[id];a.onclick=()=>{byId(id).value=e[id];draw();};c.append(a);row.append(c);}
const c=document.createElement('td');c.className='fields';c.textContent=Object.entries(e.fields).map(f=>f.join('=')).join(' ');row.append(c);rows.append(row);}
byId('note').textContent=shown.length+' of '+events.length+' events'+(shown.length>maxRows?', the first '+maxRows+' listed':'');
}
window.onresize=draw;draw();
</script></body></html>
)html";

        std::string timeText(std::int64_t micros)
        {
            constexpr std::int64_t microsPerSecond = 1'000'000;
            std::time_t seconds = micros / microsPerSecond;
            std::tm parts {};
            gmtime_r(&seconds, &parts);
            std::array<char, 40> text {};
            std::size_t length = std::strftime(text.data(), text.size(), "%H:%M:%S.", &parts);
            std::string fraction = std::to_string(micros % microsPerSecond);
            return std::string(text.data(), length) + std::string(6 - std::min<std::size_t>(fraction.size(), 6), '0') + fraction;
        }

        json::object fieldsOf(const rpc::TimelineEvent& event)
        {
            json::object fields;
            for (const auto& [name, value] : event.fields)
                fields[name] = value;
            return fields;
        }

        /// Escapes JSON for a script element.
        std::string escapeForScript(const std::string& text)
        {
            std::string escaped;
            for (char c : text) {
                if (c == '<')
                    escaped += "\\u003c";
                else
                    escaped += c;
            }
            return escaped;
        }

        struct Span {
            std::int64_t begin { 0 };
            std::int64_t end { 0 };
            int process { 0 };
        };

        json::object traceEvent(std::string_view phase, const std::string& name, int process, std::int64_t time)
        {
            return { { "ph", json::string(phase.data(), phase.size()) }, { "name", name }, { "pid", process }, { "tid", 0 }, { "ts", time } };
        }

    } // namespace

} // namespace detail

void sortCausally(std::vector<rpc::TimelineEvent>& events)
{
    std::ranges::sort(events, {}, [](const rpc::TimelineEvent& event) { return std::tie(event.logicalTime, event.systemMicros, event.process, event.sequence); });
}

std::string timelineText(const std::vector<rpc::TimelineEvent>& events)
{
    std::string out;
    for (const rpc::TimelineEvent& event : events) {
        out += detail::timeText(event.systemMicros) + " " + event.process + " " + event.kind;
        if (!event.request.empty())
            out += " request=" + event.request;
        if (!event.target.empty())
            out += " target=" + event.target;
        for (const auto& [name, value] : event.fields)
            out.append(" ").append(name).append("=").append(value);
        out += "\n";
    }
    return out;
}

std::string timelineHtml(const std::vector<rpc::TimelineEvent>& events)
{
    boost::json::array list;
    for (const rpc::TimelineEvent& event : events)
        list.push_back(boost::json::object { { "t", event.systemMicros }, { "process", event.process }, { "kind", event.kind }, { "request", event.request }, { "target", event.target }, { "fields", detail::fieldsOf(event) } });
    return std::string(detail::pageBegin) + detail::escapeForScript(boost::json::serialize(list)) + std::string(detail::pageEnd);
}

std::string timelineChromeTrace(const std::vector<rpc::TimelineEvent>& events)
{
    std::map<std::string, int> processes;
    std::map<std::pair<std::string, std::string>, detail::Span> spans;
    boost::json::array list;
    for (const rpc::TimelineEvent& event : events) {
        int process = processes.emplace(event.process, static_cast<int>(processes.size()) + 1).first->second;
        boost::json::object instant = detail::traceEvent("i", event.kind, process, event.systemMicros);
        boost::json::object arguments = detail::fieldsOf(event);
        arguments["request"] = event.request;
        arguments["target"] = event.target;
        instant["s"] = "t";
        instant["args"] = std::move(arguments);
        list.push_back(std::move(instant));
        if (event.request.empty())
            continue;
        auto [span, isNew] = spans.try_emplace({ event.process, event.request }, detail::Span { event.systemMicros, event.systemMicros, process });
        span->second.begin = std::min(span->second.begin, event.systemMicros);
        span->second.end = std::max(span->second.end, event.systemMicros);
    }
    for (const auto& [key, span] : spans) {
        for (bool isBegin : { true, false }) {
            boost::json::object edge = detail::traceEvent(isBegin ? "b" : "e", key.second, span.process, isBegin ? span.begin : span.end);
            edge["cat"] = "request";
            edge["id"] = key.second;
            list.push_back(std::move(edge));
        }
    }
    for (const auto& [name, process] : processes) {
        boost::json::object title = detail::traceEvent("M", "process_name", process, 0);
        title["args"] = boost::json::object { { "name", name } };
        list.push_back(std::move(title));
    }
    return boost::json::serialize(boost::json::object { { "traceEvents", std::move(list) } });
}

} // namespace limpetpond::tool
