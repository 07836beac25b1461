#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <platform/store_json.h>
#include <string.h>

#define KEY "pimentolift/trial/agents/0000000000000007/10.0.0.1:7000"
#define SOUND "{\"key\":\"a\",\"value\":\"eA==\",\"revision\":3}"

static pl_result_t decode_list_(const char *item, size_t *count)
{
	char body[512];
	pl_store_response_t response;
	pl_result_t result;

	g_snprintf(body, sizeof(body),
		   "{\"items\":[" SOUND ",%s],\"store_revision\":9,"
		   "\"has_more\":false}",
		   item);
	pl_store_response_init(&response);
	result = pl_store_decode_list(body, strlen(body), &response);
	*count = response.items->len;
	pl_store_response_finish(&response);
	return result;
}

/* Guards against a list that silently lacked an entry of which the value is
 * unreadable: a roster without that agent proves nothing. */
static void item_without_a_readable_value_stays_in_the_list(void **state)
{
	static const char *const items[] = {
		"{\"key\":\"" KEY "\",\"revision\":4}",
		"{\"key\":\"" KEY "\",\"value\":null,\"revision\":4}",
		"{\"key\":\"" KEY "\",\"value\":7,\"revision\":4}",
		"{\"key\":\"" KEY "\",\"value\":\"%%%\",\"revision\":4}",
	};
	size_t count;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
		assert_int_equal(decode_list_(items[i], &count), PL_OK);
		assert_int_equal(count, 2);
	}
}

static void list_with_an_unreadable_key_is_malformed(void **state)
{
	static const char *const items[] = {
		"7",
		"null",
		"{}",
		"{\"value\":\"eA==\",\"revision\":4}",
		"{\"key\":7,\"value\":\"eA==\",\"revision\":4}",
		"{\"key\":\"" KEY "\",\"value\":\"eA==\"}",
		"{\"key\":\"" KEY "\",\"value\":\"eA==\",\"revision\":-1}",
	};
	size_t count;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(items); i++)
		assert_int_equal(decode_list_(items[i], &count),
				 PL_ERR_MALFORMED);
}

/* An item that is there but unreadable is not a key that does not exist. */
static void unreadable_item_is_not_taken_for_a_missing_one(void **state)
{
	static const char body[] = "{\"key\":\"a\",\"value\":7,"
				   "\"revision\":3,\"store_revision\":9}";
	pl_store_response_t response;

	(void)state;
	pl_store_response_init(&response);
	assert_int_equal(pl_store_decode_item(body, strlen(body), &response),
			 PL_ERR_MALFORMED);
	pl_store_response_finish(&response);
}

/* Guards against a request to evacuate that is lost because its value cannot be
 * read, and against one that is in force for ever because its removal is not
 * recognised. */
static void changes_of_a_range_are_decoded_in_order(void **state)
{
	static const char body[] =
		"{\"events\":[" SOUND ","
		"{\"key\":\"b\",\"value\":7,\"revision\":4},"
		"{\"key\":\"a\",\"revision\":5,\"deleted\":true}],"
		"\"store_revision\":9}";
	static const char broken[] = "{\"events\":[{\"revision\":4}],"
				     "\"store_revision\":9}";
	static const char none[] = "{\"events\":[],\"store_revision\":9}";
	pl_store_response_t response;
	const pl_kv_item_t *items;

	(void)state;
	pl_store_response_init(&response);
	assert_int_equal(pl_store_decode_changes(body, strlen(body), &response),
			 PL_OK);
	assert_int_equal(response.items->len, 3);
	items = (const pl_kv_item_t *)response.items->data;
	assert_string_equal(items[0].value, "x");
	assert_false(items[0].deleted);
	assert_int_equal(items[1].value_len, 0);
	assert_false(items[1].deleted);
	assert_true(items[2].deleted);
	assert_int_equal(response.store_revision, 9);
	assert_int_equal(
		pl_store_decode_changes(broken, strlen(broken), &response),
		PL_ERR_MALFORMED);
	pl_store_response_finish(&response);
	pl_store_response_init(&response);
	assert_int_equal(pl_store_decode_changes(none, strlen(none), &response),
			 PL_ERR_NOT_FOUND);
	pl_store_response_finish(&response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(changes_of_a_range_are_decoded_in_order),
		cmocka_unit_test(
			item_without_a_readable_value_stays_in_the_list),
		cmocka_unit_test(list_with_an_unreadable_key_is_malformed),
		cmocka_unit_test(
			unreadable_item_is_not_taken_for_a_missing_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
