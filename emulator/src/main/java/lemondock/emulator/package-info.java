/**
 * Emulators of the systems that a gateway talks to: engines with the OpenAI-compatible API, the
 * service catalogue, and the platform's servers and discovery. They run no model: timers pace the
 * tokens.
 */
package lemondock.emulator;
