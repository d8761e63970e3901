import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Client } from "@modelcontextprotocol/sdk/client/index.js";
import {
  StreamableHTTPClientTransport,
  StreamableHTTPError,
} from "@modelcontextprotocol/sdk/client/streamableHttp.js";
import { resumed } from "./resume.js";
import {
  CallToolRequestSchema,
  CallToolResultSchema,
  McpError,
} from "@modelcontextprotocol/sdk/types.js";

/** One message of a prompt, as the gateway's tools take them. */
export interface Message {
  role: "system" | "user" | "assistant";
  content: string;
}

/** A tool that runs at the client. Models may call it in the middle of an answer. */
export interface Tool {
  description?: string;
  /** JSON Schema of its arguments; an object without further rules if left out. */
  inputSchema?: Record<string, unknown>;
  /** Runs it. What it throws is told to the model as a failure of the tool. */
  run(args: Record<string, unknown>): Promise<string> | string;
}

/** How a client is made. Times in milliseconds. */
export interface Options {
  /** How often a call is tried again at most where the gateway says that this does no harm; 4 if left out. */
  retries?: number;
  /** The longest wait before a repeat, whatever the gateway advises; 30,000 if left out. */
  longestWait?: number;
  /** Time for a whole call, repeats not counted; 120,000 if left out. */
  timeout?: number;
  /** Name of the tenant that the gateway's reports count calls under. */
  tenant?: string;
}

/** What a call asks for. */
export interface Ask {
  prompt?: string;
  messages?: Message[];
  maxTokens?: number;
  conversation?: string;
  /** Names of registered tools that the model may call; all of them if left out. */
  tools?: string[];
  /** Takes the answer piece by piece; `tokens` counts all so far. */
  onToken?: (piece: string, tokens: number) => void;
  /** The answer is tried again from its beginning: what came by `onToken` for it is void. */
  onRestart?: () => void;
  /** Calls off the call. */
  signal?: AbortSignal;
  /** Names this call over all its repeats, also those of another process of yours; drawn if left out. */
  key?: string;
}

/** A whole answer. */
export interface Answer {
  text: string;
  tokens: number;
  turns: number;
  toolCalls: number;
  finishReason: string;
  conversation?: string;
  /** The key under which it ran. */
  key: string;
}

/** Why a call has no answer. */
export class CallError extends Error {
  constructor(
    message: string,
    /** The code of JSON-RPC, or the status of HTTP if it did not come that far. */
    readonly code: number,
    /** Whether the gateway promises that trying again does no harm. */
    readonly retryable: boolean,
    /** Milliseconds to wait first. */
    readonly retryAfter: number,
    /** What became of an earlier call under the same key, if the gateway knows of one. */
    readonly became: string | undefined,
    readonly key: string,
  ) {
    super(message);
    this.name = "CallError";
  }
}

/** The gateway is at its limit and did not take the request. */
class Busy extends Error {
  constructor(readonly retryAfter: number) {
    super("the gateway is at its limit");
  }
}

const FIRST_WAIT = 100;
const SECOND = 1000;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** A client of one gateway. Broken streams are taken up again behind the last event; a session that is gone is opened anew. */
export class Lemondock {
  private readonly tools = new Map<string, Tool>();
  private client: Promise<Client> | undefined;

  constructor(
    private readonly url: string | URL,
    private readonly options: Options = {},
  ) {}

  /** Registers a tool for the calls that begin from now on. */
  tool(name: string, tool: Tool): this {
    this.tools.set(name, tool);
    return this;
  }

  /** The tools of the gateway: its request classes. */
  async list(): Promise<{ name: string; description?: string }[]> {
    const listed = await (await this.session()).listTools();
    return listed.tools.map((t) => ({
      name: t.name,
      ...(t.description === undefined ? {} : { description: t.description }),
    }));
  }

  /**
   * Calls a tool of the gateway and gives its whole answer.
   *
   * @throws CallError if there is none, after as many repeats as the gateway allows and the options have
   */
  async call(name: string, ask: Ask): Promise<Answer> {
    const key = ask.key ?? randomUUID();
    for (let attempt = 0; ; attempt++) {
      try {
        return await this.once(name, ask, key, attempt > 0);
      } catch (e) {
        const error = this.told(e, key);
        if (!error.retryable || attempt >= (this.options.retries ?? 4) || ask.signal?.aborted) {
          throw error;
        }
        const wait = Math.min(
          this.options.longestWait ?? 30 * SECOND,
          Math.max(error.retryAfter, FIRST_WAIT * 2 ** attempt),
        );
        await sleep(wait, undefined, ask.signal === undefined ? {} : { signal: ask.signal });
        ask.onRestart?.();
      }
    }
  }

  /** Ends the session; calls under way are called off. */
  async close(): Promise<void> {
    const open = this.client;
    this.client = undefined;
    if (open !== undefined) {
      const client = await open;
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
          throw new Busy(Number(response.headers.get("retry-after") ?? "1") * SECOND);
        }
        if (
          init?.method !== "POST" ||
          !response.headers.get("content-type")?.startsWith("text/event-stream")
        ) {
          return response;
        }
        return resumed(
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

  private async once(name: string, ask: Ask, key: string, again: boolean): Promise<Answer> {
    const client = await this.session();
    const offered = ask.tools ?? [...this.tools.keys()];
    const args: Record<string, unknown> = {};
    if (ask.prompt !== undefined) args.prompt = ask.prompt;
    if (ask.messages !== undefined) args.messages = ask.messages;
    if (ask.maxTokens !== undefined) args.max_tokens = ask.maxTokens;
    if (ask.conversation !== undefined) args.conversation = ask.conversation;
    if (offered.length > 0) {
      args.tools = offered.map((t) => ({
        name: t,
        ...(this.tools.get(t)?.description === undefined
          ? {}
          : { description: this.tools.get(t)?.description }),
        inputSchema: this.tools.get(t)?.inputSchema ?? { type: "object" },
      }));
    }
    const meta: Record<string, unknown> = { "lemondock/key": key };
    if (again) meta["lemondock/retry"] = true;
    if (this.options.tenant !== undefined) meta["lemondock/tenant"] = this.options.tenant;
    const result = await client.request(
      { method: "tools/call", params: { name, arguments: args, _meta: meta } },
      CallToolResultSchema,
      {
        onprogress: (p) => ask.onToken?.(p.message ?? "", p.progress),
        timeout: this.options.timeout ?? 120 * SECOND,
        ...(ask.signal === undefined ? {} : { signal: ask.signal }),
      },
    );
    const told = (result.structuredContent ?? {}) as Partial<Answer>;
    return {
      text: told.text ?? "",
      tokens: told.tokens ?? 0,
      turns: told.turns ?? 0,
      toolCalls: told.toolCalls ?? 0,
      finishReason: told.finishReason ?? "",
      ...(told.conversation === undefined ? {} : { conversation: told.conversation }),
      key,
    };
  }

  /** What an attempt ended with, in one form. Only what provably was not taken is retryable without the gateway's word. */
  private told(e: unknown, key: string): CallError {
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
    if (e instanceof Busy) {
      return new CallError(e.message, UNAVAILABLE, true, e.retryAfter, undefined, key);
    }
    if (e instanceof StreamableHTTPError && e.code === NOT_FOUND) {
      this.client = undefined; // the gateway was started anew and knows nothing of the session
      return new CallError("the session is gone", NOT_FOUND, true, 0, undefined, key);
    }
    const cause = e instanceof Error ? (e.cause as { code?: string } | undefined) : undefined;
    const refused = cause?.code === "ECONNREFUSED";
    if (refused) {
      this.client = undefined;
    }
    return new CallError(e instanceof Error ? e.message : String(e), 0, refused, 0, undefined, key);
  }
}
