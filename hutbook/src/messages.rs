/// Declares the project's messages, with the derives that all of them share. Fields have explicit numbers, so that an
/// older node skips fields it doesn't know.
#[macro_export]
macro_rules! messages {
    ($($it:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, minicbor::Encode, minicbor::Decode)]
            $it
        )*
    };
}
