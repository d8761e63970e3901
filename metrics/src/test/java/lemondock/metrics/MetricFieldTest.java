package lemondock.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Formatting of recorded values as decimals. */
class MetricFieldTest {
  @Test
  void valuesAreWrittenAsExactDecimals() {
    MetricField weight = new MetricField("weight", MetricField.Kind.COUNTER, 6, "1", "");
    long[] values = {0, 1_000_000, 1_500_000, 1, -2_250_000, -1, 123_456_789_012L};
    String[] texts = {"0", "1", "1.5", "0.000001", "-2.25", "-0.000001", "123456.789012"};
    for (int i = 0; i < values.length; i++) {
      StringBuilder text = new StringBuilder();
      weight.appendDecimal(values[i], text);
      assertEquals(texts[i], text.toString());
    }
  }
}
