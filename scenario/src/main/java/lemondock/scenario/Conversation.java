package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** A conversation of a client with one or more turns. Used on the clients' loop only. */
final class Conversation {
  private final String name;
  private final int classId;
  private final ArrayNode messages = JsonNodeFactory.instance.arrayNode();
  private int turnsLeft;
  private boolean busy;

  Conversation(String name, int classId, String systemPrompt, int turns) {
    this.name = name;
    this.classId = classId;
    this.turnsLeft = turns;
    addMessage("system", systemPrompt);
  }

  String name() {
    return name;
  }

  int classId() {
    return classId;
  }

  /** A copy of all messages so far. */
  ArrayNode messages() {
    return messages.deepCopy();
  }

  boolean canContinue() {
    return !busy && turnsLeft > 0;
  }

  boolean isOver() {
    return turnsLeft <= 0;
  }

  /** Begins a turn; the conversation is busy until {@link #endTurn}. */
  void beginTurn() {
    turnsLeft--;
    busy = true;
  }

  void addUserMessage(String text) {
    addMessage("user", text);
  }

  void addAnswer(String text) {
    addMessage("assistant", text);
  }

  private void addMessage(String role, String text) {
    messages.addObject().put("role", role).put("content", text);
  }

  /** Ends the turn; the conversation is over if the turn got no answer. */
  void endTurn() {
    busy = false;
    String lastRole = messages.get(messages.size() - 1).path("role").asText();
    if (lastRole.equals("user")) {
      turnsLeft = 0;
    }
  }
}
