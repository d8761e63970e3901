import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Client } from "@modelcontextprotocol/sdk/client/index.js";
import {
  StreamableHTTPClientTransport,
  StreamableHTTPError,
} from "@modelcontextprotocol/sdk/client/streamableHttp.js";
import { withResumption } from "./resume.js";
import {
  CallToolRequestSchema,
  CallToolResultSchema,
  McpError,
} from "@modelcontextprotocol/sdk/types.js";

/** One message of a prompt, in the format of the gateway's tools. */
export interface Message {
  role: "system" | "user" | "assistant";
  content: string;
}

/** A tool that runs in the client. A model may call it in the middle of an answer. */
export interface Tool {
  description?: string;
  /** JSON Schema of its arguments; any object if not given. */
  inputSchema?: Record<string, unknown>;
  /** Runs the tool. An exception is reported to the model as a failure of the tool. */
  run(args: Record<string, unknown>): Promise<string> | string;
}

/** Settings of a client. Times are in milliseconds. */
export interface Options {
  /** Maximum number of retries of a call, which are made only if the gateway says that a retry is safe; default 4. */
  retries?: number;
  /** Maximum wait before a retry, even if the gateway advises a longer one; default 30,000. */
  longestWait?: number;
  /** Timeout of each attempt of a call; default 120,000. */
  timeout?: number;
  /** Name of the tenant that the gateway's metrics attribute the calls to. */
  tenant?: string;
}

/** Parameters of a call. */
export interface Ask {
  prompt?: string;
  messages?: Message[];
  maxTokens?: number;
  conversation?: string;
  /** Names of registered tools that the model may call; default all of them. */
  tools?: string[];
  /** Receives the answer piece by piece; `tokens` is the total so far. */
  onToken?: (piece: string, tokens: number) => void;
  /** Called before a retry, which starts the answer again: discard what `onToken` has received for this call. */
  onRestart?: () => void;
  /** Cancels the call. */
  signal?: AbortSignal;
  /** Idempotency key of the call, shared by all its retries, also by those of other processes; default a random UUID. */
  key?: string;
}

/** A complete answer. */
export interface Answer {
  text: string;
  tokens: number;
  turns: number;
  toolCalls: number;
  finishReason: string;
  conversation?: string;
  /** The idempotency key of the call. */
  key: string;
}

/** The failure of a call. */
export class CallError extends Error {
  constructor(
    message: string,
    /** The JSON-RPC error code; else the HTTP status; 0 for any other failure. */
    readonly code: number,
    /** Whether a retry is safe. */
    readonly retryable: boolean,
    /** Milliseconds to wait before a retry. */
    readonly retryAfter: number,
    /** Outcome of an earlier call with the same key, if the gateway knows of one. */
    readonly became: string | undefined,
    readonly key: string,
  ) {
    super(message);
    this.name = "CallError";
  }
}

/** The gateway is at its limit and rejected the request. */
class OverloadedError extends Error {
  constructor(readonly retryAfter: number) {
    super("the gateway is at its limit");
  }
}

const FIRST_BACKOFF_MS = 100;
const MS_PER_SECOND = 1000;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** A client of one gateway. It resumes a broken stream after the last event and opens a new session when the gateway has lost the old one. */
export class Lemondock {
  private readonly tools = new Map<string, Tool>();
  private client: Promise<Client> | undefined;

  constructor(
    private readonly url: string | URL,
    private readonly options: Options = {},
  ) {}

  /** Registers a tool for the calls that start after this. */
  tool(name: string, tool: Tool): this {
    this.tools.set(name, tool);
    return this;
  }

  /** Lists the tools of the gateway, which are its request classes. */
  async list(): Promise<{ name: string; description?: string }[]> {
    const listed = await (await this.session()).listTools();
    return listed.tools.map((tool) => ({
      name: tool.name,
      ...(tool.description === undefined ? {} : { description: tool.description }),
    }));
  }

  /**
   * Calls a tool of the gateway and returns its complete answer.
   *
   * @throws CallError if the call failed and the gateway or the options allow no further retry
   */
  async call(name: string, ask: Ask): Promise<Answer> {
    const key = ask.key ?? randomUUID();
    for (let attempt = 0; ; attempt++) {
      try {
        return await this.callOnce(name, ask, key, attempt > 0);
      } catch (e) {
        const error = this.toCallError(e, key);
        if (!error.retryable || attempt >= (this.options.retries ?? 4) || ask.signal?.aborted) {
          throw error;
        }
        const wait = Math.min(
          this.options.longestWait ?? 30 * MS_PER_SECOND,
          Math.max(error.retryAfter, FIRST_BACKOFF_MS * 2 ** attempt),
        );
        await sleep(wait, undefined, ask.signal === undefined ? {} : { signal: ask.signal });
        ask.onRestart?.();
      }
    }
  }

  /** Ends the session; calls in flight are cancelled. */
  async close(): Promise<void> {
    const opened = this.client;
    this.client = undefined;
    if (opened !== undefined) {
      const client = await opened;
      await (client.transport as StreamableHTTPClientTransport | undefined)
        ?.terminateSession()
        .catch(() => undefined);
      await client.close();
    }
  }

  private session(): Promise<Client> {
    this.client ??= this.open().catch((e) => {
      this.client = undefined;
      throw e;
    });
    return this.client;
  }

  private async open(): Promise<Client> {
    const client = new Client({ name: "lemondock-client", version: "0.2.0" });
    client.setRequestHandler(CallToolRequestSchema, async (request) => {
      const tool = this.tools.get(request.params.name);
      if (tool === undefined) {
        return {
          content: [{ type: "text", text: `there is no tool ${request.params.name}` }],
          isError: true,
        };
      }
      try {
        const text = await tool.run(request.params.arguments ?? {});
        return { content: [{ type: "text", text }], isError: false };
      } catch (e) {
        return {
          content: [{ type: "text", text: e instanceof Error ? e.message : String(e) }],
          isError: true,
        };
      }
    });
    const transport = new StreamableHTTPClientTransport(new URL(this.url), {
      fetch: async (input, init) => {
        const response = await fetch(input, init);
        if (response.status === UNAVAILABLE) {
          await response.body?.cancel();
          throw new OverloadedError(
            Number(response.headers.get("retry-after") ?? "1") * MS_PER_SECOND,
          );
        }
        if (
          init?.method !== "POST" ||
          !response.headers.get("content-type")?.startsWith("text/event-stream")
        ) {
          return response;
        }
        return withResumption(
          response,
          (lastEventId) => {
            const headers = new Headers(init.headers);
            headers.delete("content-type");
            headers.set("accept", "text/event-stream");
            headers.set("last-event-id", lastEventId);
            return fetch(input, {
              method: "GET",
              headers,
              ...(init.signal ? { signal: init.signal } : {}),
            });
          },
          init.signal,
        );
      },
    });
    await client.connect(transport);
    return client;
  }

  private async callOnce(name: string, ask: Ask, key: string, isRetry: boolean): Promise<Answer> {
    const client = await this.session();
    const toolNames = ask.tools ?? [...this.tools.keys()];
    const args: Record<string, unknown> = {};
    if (ask.prompt !== undefined) args.prompt = ask.prompt;
    if (ask.messages !== undefined) args.messages = ask.messages;
    if (ask.maxTokens !== undefined) args.max_tokens = ask.maxTokens;
    if (ask.conversation !== undefined) args.conversation = ask.conversation;
    if (toolNames.length > 0) {
      args.tools = toolNames.map((toolName) => ({
        name: toolName,
        ...(this.tools.get(toolName)?.description === undefined
          ? {}
          : { description: this.tools.get(toolName)?.description }),
        inputSchema: this.tools.get(toolName)?.inputSchema ?? { type: "object" },
      }));
    }
    const meta: Record<string, unknown> = { "lemondock/key": key };
    if (isRetry) meta["lemondock/retry"] = true;
    if (this.options.tenant !== undefined) meta["lemondock/tenant"] = this.options.tenant;
    const result = await client.request(
      { method: "tools/call", params: { name, arguments: args, _meta: meta } },
      CallToolResultSchema,
      {
        onprogress: (progress) => ask.onToken?.(progress.message ?? "", progress.progress),
        timeout: this.options.timeout ?? 120 * MS_PER_SECOND,
        ...(ask.signal === undefined ? {} : { signal: ask.signal }),
      },
    );
    const answer = (result.structuredContent ?? {}) as Partial<Answer>;
    return {
      text: answer.text ?? "",
      tokens: answer.tokens ?? 0,
      turns: answer.turns ?? 0,
      toolCalls: answer.toolCalls ?? 0,
      finishReason: answer.finishReason ?? "",
      ...(answer.conversation === undefined ? {} : { conversation: answer.conversation }),
      key,
    };
  }

  /** Converts the failure of an attempt. Unless the gateway says so, only a request that it certainly did not accept is retryable. */
  private toCallError(e: unknown, key: string): CallError {
    if (e instanceof McpError) {
      const data = (e.data ?? {}) as {
        retryable?: boolean;
        retryAfterMs?: number;
        became?: string;
      };
      return new CallError(
        e.message,
        e.code,
        data.retryable === true,
        data.retryAfterMs ?? 0,
        data.became,
        key,
      );
    }
    if (e instanceof OverloadedError) {
      return new CallError(e.message, UNAVAILABLE, true, e.retryAfter, undefined, key);
    }
    if (e instanceof StreamableHTTPError && e.code === NOT_FOUND) {
      this.client = undefined; // the gateway has restarted and does not know the session
      return new CallError(
        "the gateway does not know the session",
        NOT_FOUND,
        true,
        0,
        undefined,
        key,
      );
    }
    const cause = e instanceof Error ? (e.cause as { code?: string } | undefined) : undefined;
    const connectionRefused = cause?.code === "ECONNREFUSED";
    if (connectionRefused) {
      this.client = undefined;
    }
    return new CallError(
      e instanceof Error ? e.message : String(e),
      0,
      connectionRefused,
      0,
      undefined,
      key,
    );
  }
}
