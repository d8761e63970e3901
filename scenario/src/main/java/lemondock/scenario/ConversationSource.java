package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Draws whether a client continues one of the conversations or begins a new one. Used on the
 * clients' loop unless a member says otherwise.
 */
final class ConversationSource {
  private static final int SYSTEM_PROMPT_COUNT = 6;
  private static final int HOT_PROMPT_WORDS = 900;

  private final long seed;
  private final SplittableRandom random;
  private final List<String> systemPrompts = new ArrayList<>();
  private final List<Conversation> conversations = new ArrayList<>();

  /** Set by the thread that plays the scenario; null while there is no hot prompt. */
  private volatile String hotSystemPrompt;

  /** Draws the lengths of the system prompts. */
  ConversationSource(long seed, SplittableRandom random) {
    this.seed = seed;
    this.random = random;
    for (int i = 0; i < SYSTEM_PROMPT_COUNT; i++) {
      systemPrompts.add(RandomText.words("opening" + i, 100 + random.nextInt(500)));
    }
  }

  /** Sets whether a third of the new conversations share one long system prompt. Any thread. */
  void setHotSystemPrompt(boolean hot) {
    hotSystemPrompt = hot ? RandomText.words("hot", HOT_PROMPT_WORDS) : null;
  }

  /** Begins a turn of an idle conversation or of a new one. */
  Conversation nextTurn(int number) {
    Optional<Conversation> idle =
        conversations.stream()
            .filter(Conversation::canContinue)
            .skip(random.nextInt(4))
            .findFirst();
    Conversation conversation;
    if (idle.isEmpty() || random.nextInt(3) == 0) {
      conversation = begin(number);
      conversations.add(conversation);
    } else {
      conversation = idle.get();
    }
    conversations.removeIf(Conversation::isOver);
    conversation.beginTurn();
    return conversation;
  }

  private Conversation begin(int number) {
    int classId = drawClass();
    String systemPrompt = drawSystemPrompt();
    int turns = 1 + random.nextInt(4);
    return new Conversation("talk-" + seed + "-" + number, classId, systemPrompt, turns);
  }

  private int drawClass() {
    int percentile = random.nextInt(100);
    if (percentile < 60) {
      return 0;
    }
    if (percentile < 80) {
      return 1;
    }
    return percentile < 90 ? 2 : 3;
  }

  /** Prefers prompts with a low index, so that some prefixes are shared by many conversations. */
  private String drawSystemPrompt() {
    String hot = hotSystemPrompt;
    if (hot != null && random.nextInt(3) == 0) {
      return hot;
    }
    int first = random.nextInt(SYSTEM_PROMPT_COUNT);
    int second = random.nextInt(SYSTEM_PROMPT_COUNT);
    return systemPrompts.get(Math.min(first, second));
  }
}
