package lemondock.scenario;

/** Text for prompts, the same for the same name. */
final class RandomText {
  private static final int VOCABULARY_SIZE = 997;

  private RandomText() {}

  /** So many words, by a name that stands for the text. */
  static String words(String name, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      int word = Math.floorMod(name.hashCode() * 31 + i * 17, VOCABULARY_SIZE);
      text.append(i == 0 ? "" : " ").append("word").append(word);
    }
    return text.toString();
  }
}
