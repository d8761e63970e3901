// Run with: node dist/examples/ask.js http://127.0.0.1:8080/mcp
import { Lemondock } from "../src/index.js";

const client = new Lemondock(process.argv[2] ?? "http://127.0.0.1:8080/mcp").tool("stock", {
  description: "How many of an article are left",
  inputSchema: { type: "object", properties: { article: { type: "string" } } },
  run: () => "12 left",
});
const answer = await client.call("sale-lookup", {
  prompt: "call the tool stock answer in 8 words",
  onToken: (piece) => process.stdout.write(piece),
  onRestart: () => process.stdout.write("\n(again) "),
});
process.stdout.write(`\n${answer.tokens} tokens, ${answer.toolCalls} tool calls\n`);
await client.close();
