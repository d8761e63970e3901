package lemondock.scenario;

/** Generates pseudo-random text for prompts; the same name always gives the same text. */
final class RandomText {
  private static final int VOCABULARY_SIZE = 997;

  private RandomText() {}

  /** Returns {@code count} words, determined by the name. */
  static String words(String name, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      int word = Math.floorMod(name.hashCode() * 31 + i * 17, VOCABULARY_SIZE);
      text.append(i == 0 ? "" : " ").append("word").append(word);
    }
    return text.toString();
  }
}
