import assert from "node:assert/strict";
import http from "node:http";
import net from "node:net";
import { after, before, test } from "node:test";
import { CallError, Lemondock } from "../src/index.js";

// A gateway with stand-in engines; whoever runs the tests starts it and says where.
const gateway = new URL(process.env.LEMONDOCK_URL ?? "http://127.0.0.1:8080/mcp");
const words = (n: number, turn = "a") =>
  Array.from({ length: n }, (_, i) => ` ${turn}${i}`).join("");

test("an answer streams and is whole", async () => {
  const client = new Lemondock(gateway);
  const pieces: string[] = [];
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 9 words",
    onToken: (p) => pieces.push(p),
  });
  assert.equal(answer.text, words(9));
  assert.equal(pieces.join(""), answer.text);
  assert.equal(answer.tokens, 9);
  assert.ok((await client.list()).some((t) => t.name === "sale-lookup"));
  await client.close();
});

test("tools run in the middle of answers, several at once, and their failures are told to the model", async () => {
  const seen: unknown[] = [];
  const client = new Lemondock(gateway)
    .tool("stock", {
      run: (args) => {
        seen.push(args);
        return "12 left";
      },
    })
    .tool("price", {
      run: () => {
        throw new Error("no price");
      },
    });
  const answer = await client.call("sale-lookup", {
    prompt: "call the tools stock and price together answer in 3 words",
  });
  assert.equal(answer.text, `${words(4)}[12 left|no price]${words(3, "b")}`);
  assert.equal(answer.toolCalls, 2);
  assert.deepEqual(seen, [{ turn: 0, number: 0 }]);
  await client.close();
});

test("a call is called off", async () => {
  const client = new Lemondock(gateway);
  const off = new AbortController();
  await assert.rejects(
    client.call("sale-lookup", {
      prompt: "answer in 400 words",
      signal: off.signal,
      onToken: () => off.abort(),
    }),
    CallError,
  );
  assert.equal((await client.call("sale-lookup", { prompt: "answer in 2 words" })).text, words(2));
  await client.close();
});

test("bad arguments are no reason to try again", async () => {
  const client = new Lemondock(gateway);
  await assert.rejects(
    client.call("sale-lookup", {}),
    (e: CallError) => e.code === -32602 && !e.retryable,
  );
  await client.close();
});

/** Hands bytes on to the gateway and may cut connections. */
let relay: net.Server;
let cutAfter = Infinity;
let cuts = 0;
const sockets = new Set<net.Socket>();
before(async () => {
  relay = net.createServer((near) => {
    sockets.add(near);
    const far = net.connect(Number(gateway.port), gateway.hostname);
    let bytes = 0;
    near.on("error", () => far.destroy());
    far.on("error", () => near.destroy());
    near.pipe(far);
    far.on("data", (data) => {
      bytes += data.length;
      if (bytes > cutAfter) {
        cuts++;
        near.destroy();
        far.destroy();
      } else {
        near.write(data);
      }
    });
    far.on("close", () => near.destroy());
    near.on("close", () => far.destroy());
  });
  await new Promise<void>((done) => relay.listen(0, "127.0.0.1", done));
});
after(() => {
  relay.close();
  sockets.forEach((s) => s.destroy());
});

test("a stream that breaks again and again is taken up behind the last token", async () => {
  const client = new Lemondock(`http://127.0.0.1:${(relay.address() as net.AddressInfo).port}/mcp`);
  await client.list();
  cutAfter = 8_000;
  const pieces: string[] = [];
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 150 words",
    onToken: (p) => pieces.push(p),
  });
  cutAfter = Infinity;
  assert.equal(answer.text, words(150));
  assert.equal(pieces.join(""), answer.text);
  assert.ok(cuts >= 2, `the stream was cut ${cuts} times`);
  await client.close();
});

/** Stands before the gateway and refuses what it is told to. */
interface Instead {
  status: number;
  headers: Record<string, string>;
  body: string;
}

async function refusing(answers: (body: Record<string, unknown>) => Instead | undefined) {
  const calls: Record<string, unknown>[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (c: Buffer) => chunks.push(c));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      const body = text === "" ? {} : (JSON.parse(text) as Record<string, unknown>);
      if (body.method === "tools/call") calls.push(body.params as Record<string, unknown>);
      const instead = body.method === "tools/call" ? answers(body) : undefined;
      if (instead !== undefined) {
        response.writeHead(instead.status, instead.headers).end(instead.body);
        return;
      }
      const on = http.request(
        {
          host: gateway.hostname,
          port: gateway.port,
          path: request.url,
          method: request.method,
          headers: { ...request.headers, host: gateway.host },
        },
        (answer) => {
          response.writeHead(answer.statusCode ?? 500, answer.headers);
          answer.pipe(response);
        },
      );
      on.end(text);
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return {
    calls,
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/mcp`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

test("what was refused is tried again as advised, under one key", async () => {
  let refused = 0;
  const times: number[] = [];
  const before = await refusing((body): Instead | undefined => {
    times.push(Date.now());
    refused++;
    if (refused === 1)
      return {
        status: 503,
        headers: { "retry-after": "1", "content-type": "text/plain" },
        body: "full",
      };
    if (refused === 2) {
      return {
        status: 200,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          jsonrpc: "2.0",
          id: body.id,
          error: { code: -32010, message: "refused", data: { retryable: true, retryAfterMs: 300 } },
        }),
      };
    }
    return undefined;
  });
  const client = new Lemondock(before.url, { tenant: "north" });
  let restarts = 0;
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 3 words",
    onRestart: () => restarts++,
  });
  assert.equal(answer.text, words(3));
  assert.equal(restarts, 2);
  const metas = before.calls.map((c) => c._meta as Record<string, unknown>);
  assert.deepEqual(
    metas.map((m) => m["lemondock/key"]),
    [answer.key, answer.key, answer.key],
  );
  assert.deepEqual(
    metas.map((m) => m["lemondock/retry"] ?? false),
    [false, true, true],
  );
  assert.deepEqual(
    metas.map((m) => m["lemondock/tenant"]),
    ["north", "north", "north"],
  );
  assert.ok((times[1] ?? 0) - (times[0] ?? 0) >= 990, "not before the advice");
  assert.ok((times[2] ?? 0) - (times[1] ?? 0) >= 290, "not before the advice");
  await client.close();
  before.close();
});

test("what may have run is not tried again, and what became of it is told", async () => {
  const before = await refusing((body) => ({
    status: 200,
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      jsonrpc: "2.0",
      id: body.id,
      error: {
        code: -32011,
        message: "may have run",
        data: { retryable: false, became: "may_have_run" },
      },
    }),
  }));
  const client = new Lemondock(before.url);
  await assert.rejects(
    client.call("sale-lookup", { prompt: "x" }),
    (e: CallError) => !e.retryable && e.became === "may_have_run",
  );
  assert.equal(before.calls.length, 1);
  await client.close();
  before.close();
});

test("where nobody listens it says so after its repeats", async () => {
  const nobody = net.createServer();
  await new Promise<void>((done) => nobody.listen(0, "127.0.0.1", done));
  const { port } = nobody.address() as net.AddressInfo;
  await new Promise((done) => nobody.close(done));
  const client = new Lemondock(`http://127.0.0.1:${port}/mcp`, { retries: 1 });
  await assert.rejects(
    client.call("sale-lookup", { prompt: "x" }),
    (e: CallError) => e.retryable && e.code === 0,
  );
});
