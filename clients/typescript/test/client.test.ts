import assert from "node:assert/strict";
import http from "node:http";
import net from "node:net";
import { after, before, test } from "node:test";
import { CallError, Lemondock } from "../src/index.js";

// A running gateway with emulated engines, which the caller of the tests starts.
const gateway = new URL(process.env.LEMONDOCK_URL ?? "http://127.0.0.1:8080/mcp");
const words = (n: number, turn = "a") =>
  Array.from({ length: n }, (_, i) => ` ${turn}${i}`).join("");

test("an answer is streamed completely", async () => {
  const client = new Lemondock(gateway);
  const pieces: string[] = [];
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 9 words",
    onToken: (piece) => pieces.push(piece),
  });
  assert.equal(answer.text, words(9));
  assert.equal(pieces.join(""), answer.text);
  assert.equal(answer.tokens, 9);
  assert.ok((await client.list()).some((tool) => tool.name === "sale-lookup"));
  await client.close();
});

test("several tools run during an answer and their failures are reported to the model", async () => {
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

test("an aborted call fails and the session stays usable", async () => {
  const client = new Lemondock(gateway);
  const abort = new AbortController();
  await assert.rejects(
    client.call("sale-lookup", {
      prompt: "answer in 400 words",
      signal: abort.signal,
      onToken: () => abort.abort(),
    }),
    CallError,
  );
  assert.equal((await client.call("sale-lookup", { prompt: "answer in 2 words" })).text, words(2));
  await client.close();
});

test("invalid arguments are not retryable", async () => {
  const client = new Lemondock(gateway);
  await assert.rejects(
    client.call("sale-lookup", {}),
    (e: CallError) => e.code === -32602 && !e.retryable,
  );
  await client.close();
});

/** Forwards bytes to the gateway and cuts each connection after `cutAfterBytes` bytes from it. */
let relay: net.Server;
let cutAfterBytes = Infinity;
let cuts = 0;
const sockets = new Set<net.Socket>();
before(async () => {
  relay = net.createServer((clientSocket) => {
    sockets.add(clientSocket);
    const gatewaySocket = net.connect(Number(gateway.port), gateway.hostname);
    let bytes = 0;
    clientSocket.on("error", () => gatewaySocket.destroy());
    gatewaySocket.on("error", () => clientSocket.destroy());
    clientSocket.pipe(gatewaySocket);
    gatewaySocket.on("data", (data) => {
      bytes += data.length;
      if (bytes > cutAfterBytes) {
        cuts++;
        clientSocket.destroy();
        gatewaySocket.destroy();
      } else {
        clientSocket.write(data);
      }
    });
    gatewaySocket.on("close", () => clientSocket.destroy());
    clientSocket.on("close", () => gatewaySocket.destroy());
  });
  await new Promise<void>((done) => relay.listen(0, "127.0.0.1", done));
});
after(() => {
  relay.close();
  sockets.forEach((socket) => socket.destroy());
});

test("a stream that breaks repeatedly is resumed after the last token", async () => {
  const client = new Lemondock(`http://127.0.0.1:${(relay.address() as net.AddressInfo).port}/mcp`);
  await client.list();
  cutAfterBytes = 8_000;
  const pieces: string[] = [];
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 150 words",
    onToken: (piece) => pieces.push(piece),
  });
  cutAfterBytes = Infinity;
  assert.equal(answer.text, words(150));
  assert.equal(pieces.join(""), answer.text);
  assert.ok(cuts >= 2, `the stream was cut ${cuts} times`);
  await client.close();
});

/** A response that the rejecting proxy sends instead of forwarding the request. */
interface CannedResponse {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** Starts a proxy before the gateway that answers the calls for which `cannedResponse` returns a response. */
async function startRejectingProxy(
  cannedResponse: (body: Record<string, unknown>) => CannedResponse | undefined,
) {
  const calls: Record<string, unknown>[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      const body = text === "" ? {} : (JSON.parse(text) as Record<string, unknown>);
      if (body.method === "tools/call") calls.push(body.params as Record<string, unknown>);
      const canned = body.method === "tools/call" ? cannedResponse(body) : undefined;
      if (canned !== undefined) {
        response.writeHead(canned.status, canned.headers).end(canned.body);
        return;
      }
      const forwarded = http.request(
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
      forwarded.end(text);
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

test("rejected calls are retried as advised with the same key", async () => {
  let rejections = 0;
  const times: number[] = [];
  const proxy = await startRejectingProxy((body): CannedResponse | undefined => {
    times.push(Date.now());
    rejections++;
    if (rejections === 1)
      return {
        status: 503,
        headers: { "retry-after": "1", "content-type": "text/plain" },
        body: "full",
      };
    if (rejections === 2) {
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
  const client = new Lemondock(proxy.url, { tenant: "north" });
  let restarts = 0;
  const answer = await client.call("sale-lookup", {
    prompt: "answer in 3 words",
    onRestart: () => restarts++,
  });
  assert.equal(answer.text, words(3));
  assert.equal(restarts, 2);
  const metas = proxy.calls.map((call) => call._meta as Record<string, unknown>);
  assert.deepEqual(
    metas.map((meta) => meta["lemondock/key"]),
    [answer.key, answer.key, answer.key],
  );
  assert.deepEqual(
    metas.map((meta) => meta["lemondock/retry"] ?? false),
    [false, true, true],
  );
  assert.deepEqual(
    metas.map((meta) => meta["lemondock/tenant"]),
    ["north", "north", "north"],
  );
  assert.ok((times[1] ?? 0) - (times[0] ?? 0) >= 990, "retried before the advised time");
  assert.ok((times[2] ?? 0) - (times[1] ?? 0) >= 290, "retried before the advised time");
  await client.close();
  proxy.close();
});

test("a call that may have run is not retried and its outcome is reported", async () => {
  const proxy = await startRejectingProxy((body) => ({
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
  const client = new Lemondock(proxy.url);
  await assert.rejects(
    client.call("sale-lookup", { prompt: "x" }),
    (e: CallError) => !e.retryable && e.became === "may_have_run",
  );
  assert.equal(proxy.calls.length, 1);
  await client.close();
  proxy.close();
});

test("a refused connection is reported after the retries", async () => {
  const closedServer = net.createServer();
  await new Promise<void>((done) => closedServer.listen(0, "127.0.0.1", done));
  const { port } = closedServer.address() as net.AddressInfo;
  await new Promise((done) => closedServer.close(done));
  const client = new Lemondock(`http://127.0.0.1:${port}/mcp`, { retries: 1 });
  await assert.rejects(
    client.call("sale-lookup", { prompt: "x" }),
    (e: CallError) => e.retryable && e.code === 0,
  );
});
